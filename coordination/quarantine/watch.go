package quarantine

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthgate/jacinthgate/state/suspect"
)

const (
	// maxUnanswered bounds the runs without a response that are kept. It is several times
	// the number of slots of a backend server.
	maxUnanswered = 128
	// abandonedWindow is how long an abandoned run may still crash the backend server. Most
	// backend servers stop such a run at once, a few continue it for some hundred
	// milliseconds.
	abandonedWindow = time.Second
	// stragglerWindow is how long after a crash further runs that lose their connection
	// are attributed to it. The goroutines of these runs notice the loss within
	// milliseconds, and no backend server has restarted by then.
	stragglerWindow = 50 * time.Millisecond
)

// EndReason is the reason why a run, the execution of a request by the backend server,
// ended without a response.
type EndReason uint8

// The reasons.
const (
	// ConnectionLost means that the backend server closed the connection during the run.
	ConnectionLost EndReason = iota
	// Abandoned means that the caller, or this node, stopped waiting for the response.
	// The backend server may continue the run for a short time.
	Abandoned
)

// unansweredRun is a run that ended without a response.
type unansweredRun struct {
	fingerprint suspect.Fingerprint
	at          time.Time
	reason      EndReason
}

// Watch determines which requests were in flight when the host's backend server
// crashed. A lost connection alone doesn't prove a crash: a response may be lost or a
// connection reset. It counts as a crash once the backend server also refuses
// connections or a new instance starts, and not if the backend server responds or
// accepts a connection after the loss. Watch is safe for concurrent use.
type Watch struct {
	mu sync.Mutex
	// instance is the backend server's instance that the runs in unanswered belong to.
	instance   string
	unanswered []unansweredRun
	// proven are the requests that the instance has lately run with success: they are in
	// flight at its crash by chance.
	proven proven
	// crash is the last crash found, crashed the instance that it ended, and crashedAt the
	// time at which the crash was found.
	crash     suspect.Crash
	crashed   string
	crashedAt time.Time
}

// RecordUnanswered records a run that ended without a response at now. If the run is
// attributed to a crash that was already found, it returns that crash, and known is
// true. It ignores a run with fingerprint 0, and one that is in flight at that crash by
// chance.
func (w *Watch) RecordUnanswered(now time.Time, instance string, f suspect.Fingerprint, reason EndReason) (crash suspect.Crash, known bool) {
	if f == 0 {
		return suspect.Crash{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason == ConnectionLost && instance == w.crashed && now.Sub(w.crashedAt) < stragglerWindow {
		if w.instance == instance && w.proven.within(now, f) {
			return suspect.Crash{}, false
		}
		return w.crash, true
	}
	w.switchTo(instance)
	if len(w.unanswered) < maxUnanswered {
		w.unanswered = append(w.unanswered, unansweredRun{fingerprint: f, at: now, reason: reason})
	}
	return suspect.Crash{}, false
}

// switchTo switches to an instance and discards the runs of earlier ones.
func (w *Watch) switchTo(instance string) {
	if w.instance != instance {
		w.instance, w.unanswered, w.proven = instance, nil, proven{}
	}
}

// Succeeded records that an instance has run a request with success.
func (w *Watch) Succeeded(now time.Time, instance string, f suspect.Fingerprint) {
	if f == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.instance == instance || len(w.unanswered) == 0 {
		w.switchTo(instance)
		w.proven.add(now, f)
	}
}

// Alive records that the backend server was alive after since: it has responded to a
// request sent at since, or accepted a connection opened then. It discards the runs that
// lost their connection before since, as no crash caused that, and the runs abandoned
// too long before since.
func (w *Watch) Alive(since time.Time, instance string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.instance != instance {
		return
	}
	kept := w.unanswered[:0]
	for _, o := range w.unanswered {
		suspectUntil := o.at
		if o.reason == Abandoned {
			suspectUntil = o.at.Add(abandonedWindow)
		}
		if suspectUntil.After(since) {
			kept = append(kept, o)
		}
	}
	w.unanswered = kept
}

// Ended records that an instance of the backend server has ended without a goodbye. It
// returns the crash and the requests that were in flight, without those that the instance
// ran with success shortly before. The crash is zero if no run of the instance is left to
// attribute, as after an earlier call for the same crash.
func (w *Watch) Ended(now time.Time, instance string) (suspect.Crash, []suspect.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.instance != instance || len(w.unanswered) == 0 {
		return suspect.Crash{}, nil
	}
	fingerprints := make([]suspect.Fingerprint, 0, len(w.unanswered))
	for _, o := range w.unanswered {
		if !w.proven.within(o.at, o.fingerprint) {
			fingerprints = append(fingerprints, o.fingerprint)
		}
	}
	w.unanswered = nil
	if instance != w.crashed || now.Sub(w.crashedAt) >= stragglerWindow {
		w.crashed, w.crashedAt = instance, now
		w.crash = suspect.Crash{
			ID: xxhash.Sum64String(instance + " " + strconv.FormatInt(now.UnixNano(), 10)),
			At: now.Unix(),
		}
	}
	return w.crash, fingerprints
}

// Unexplained reports whether runs of an instance have lost their connection and it is
// still undecided whether the instance crashed.
func (w *Watch) Unexplained(instance string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instance == instance && slices.ContainsFunc(w.unanswered, func(o unansweredRun) bool { return o.reason == ConnectionLost })
}
