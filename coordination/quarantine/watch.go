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
	// maxOpen bounds the runs without an answer that are remembered: some times the
	// slots of a backend server.
	maxOpen = 128
	// leftWindow is how long a run that its caller has left may still end the backend
	// server: most give it up at once, few work on for some hundred milliseconds.
	leftWindow = time.Second
	// stragglerWindow is how long after the end of a backend server further broken
	// runs are put down to it: their goroutines learn of it within milliseconds, and
	// no backend server is back before.
	stragglerWindow = 50 * time.Millisecond
)

// Cut says how a run ended without an answer.
type Cut uint8

// The ways.
const (
	// Broken is a run whose connection the backend server broke off.
	Broken Cut = iota
	// Left is a run that its caller, or this node, has given up.
	Left
)

// open is a run without an answer.
type open struct {
	fingerprint suspect.Fingerprint
	at          time.Time
	cut         Cut
}

// Watch finds which requests were under way when the host's backend server ended. A
// broken connection alone doesn't tell: an answer may be lost, a connection reset. The
// backend server has ended where it also refuses connections, or starts anew; where it
// shows a sign of life after the run broke off, it hasn't. Watch is safe for
// concurrent use.
type Watch struct {
	mu sync.Mutex
	// instance is the start of the backend server that the runs are of.
	instance string
	open     []open
	// crash is the last end that was found, of the start named ended, at endedAt.
	crash   suspect.Crash
	ended   string
	endedAt time.Time
}

// Note notes a run that ended without an answer. Where that belongs to an end that is
// known already, known is true and the crash is returned.
func (w *Watch) Note(now time.Time, instance string, f suspect.Fingerprint, cut Cut) (crash suspect.Crash, known bool) {
	if f == 0 {
		return suspect.Crash{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if cut == Broken && instance == w.ended && now.Sub(w.endedAt) < stragglerWindow {
		return w.crash, true
	}
	w.follow(instance)
	if len(w.open) < maxOpen {
		w.open = append(w.open, open{fingerprint: f, at: now, cut: cut})
	}
	return suspect.Crash{}, false
}

// follow forgets the runs of former starts.
func (w *Watch) follow(instance string) {
	if w.instance != instance {
		w.instance, w.open = instance, nil
	}
}

// Alive notes a sign of life of the backend server: it has answered a request that was
// sent at since, or accepted a connection. What broke off before wasn't its end.
func (w *Watch) Alive(since time.Time, instance string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.instance != instance {
		return
	}
	kept := w.open[:0]
	for _, o := range w.open {
		until := o.at
		if o.cut == Left {
			until = o.at.Add(leftWindow)
		}
		if until.After(since) {
			kept = append(kept, o)
		}
	}
	w.open = kept
}

// Ended notes that a start of the backend server has ended without a goodbye. It
// returns the crash and the requests that were under way; there are none where the end
// was known.
func (w *Watch) Ended(now time.Time, instance string) (suspect.Crash, []suspect.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.instance != instance || len(w.open) == 0 {
		return suspect.Crash{}, nil
	}
	fingerprints := make([]suspect.Fingerprint, 0, len(w.open))
	for _, o := range w.open {
		fingerprints = append(fingerprints, o.fingerprint)
	}
	w.open = nil
	if instance != w.ended || now.Sub(w.endedAt) >= stragglerWindow {
		w.ended, w.endedAt = instance, now
		w.crash = suspect.Crash{
			ID: xxhash.Sum64String(instance + " " + strconv.FormatInt(now.UnixNano(), 10)),
			At: now.Unix(),
		}
	}
	return w.crash, fingerprints
}

// Unexplained reports whether runs of a start broke off and nothing has told since
// whether that was its end.
func (w *Watch) Unexplained(instance string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instance == instance && slices.ContainsFunc(w.open, func(o open) bool { return o.cut == Broken })
}
