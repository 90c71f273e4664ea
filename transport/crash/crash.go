// Package crash detects, at the gate in front of a backend server, that this server has
// crashed, and which requests were in flight at that time. The gate also uses it to
// recognise quarantined requests, which it must not send.
package crash

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

const (
	// probeDelay is the time between a run that lost its connection and the probe of the
	// backend server. A request within this time shows whether the backend server still
	// runs, and makes the probe unnecessary. The users' backend servers get more than one
	// request every 20 ms, so few probes are made.
	probeDelay = 20 * time.Millisecond
	// probeInterval is the minimum time from a successful probe to the next one. A backend
	// server that resets connections when it is full ends many runs in this way, and each
	// probe is a further connection to it.
	probeInterval = time.Second
	// probeTimeout is the timeout of a probe. Opening a connection takes a few
	// milliseconds.
	probeTimeout = 200 * time.Millisecond
)

// Config configures an Observer.
type Config struct {
	// Suspects returns the requests that are suspected to crash backend servers; nil if
	// there are none. It is one atomic load. A nil function suspects none.
	Suspects func() *suspect.View
	// Crashed is called with the requests that were in flight when the backend server ended
	// without a goodbye, and that it hadn't run with success just before. Succeeded is called
	// when a suspected request has succeeded. Either may be nil.
	Crashed   func(suspect.Crash, []suspect.Fingerprint)
	Succeeded func(suspect.Fingerprint)
	// Reach opens a connection to the backend server and closes it again.
	Reach func(ctx context.Context, addr string) error
	// Unreachable is called when a probe finds that the backend server refuses connections.
	Unreachable func(instance string)
	// Leaving reports whether an instance of the backend server has sent its goodbye.
	Leaving func(instance string) bool
	// Crashes counts the crashes.
	Crashes *metrics.Counter
	// Logger gets one line for each event.
	Logger log.Logger
	// Now is the clock.
	Now func() time.Time
}

// Run is one execution of a request by the backend server.
type Run struct {
	// Instance identifies the instance of the backend server, and Addr is its address.
	Instance, Addr string
	// Fingerprint identifies what the request asks for; 0 if the entry node sent no
	// fingerprint.
	Fingerprint suspect.Fingerprint
	// Sent is when the request was sent.
	Sent time.Time
}

// Observer records how the runs of one host's backend server end and detects its crashes.
// It is safe for concurrent use.
type Observer struct {
	cfg   Config
	watch quarantine.Watch
	// probing is set while a probe is scheduled. reachedAt is the start of the last
	// successful probe, in nanoseconds of Unix time.
	probing   atomic.Bool
	reachedAt atomic.Int64
}

// New returns an observer.
func New(cfg Config) *Observer {
	if cfg.Suspects == nil {
		cfg.Suspects = func() *suspect.View { return nil }
	}
	if cfg.Crashed == nil {
		cfg.Crashed = func(suspect.Crash, []suspect.Fingerprint) {}
	}
	if cfg.Succeeded == nil {
		cfg.Succeeded = func(suspect.Fingerprint) {}
	}
	return &Observer{cfg: cfg}
}

// Fingerprint returns the fingerprint of what an entry node's request asks for. For a
// request without a body it is computed from the head, which saves the 15 bytes of the
// header between availability zones. It is 0 for a request with a body of an older node,
// which sends no header. The error is a *suspect.FingerprintError.
func Fingerprint(req *http.Request) (suspect.Fingerprint, error) {
	v := req.Header[outcome.HeaderFingerprint]
	switch {
	case len(v) > 0:
		return suspect.ParseFingerprint(v[0])
	case req.ContentLength == 0:
		return forward.Fingerprint(req, nil), nil
	}
	return 0, nil
}

// Quarantined reports whether requests with a fingerprint must not be sent.
func (o *Observer) Quarantined(f suspect.Fingerprint) bool {
	return o.cfg.Suspects().Quarantined(f)
}

// Alive records that the backend server has responded without running the request.
func (o *Observer) Alive(r Run) { o.watch.Alive(r.Sent, r.Instance) }

// Answered records a complete response with its status.
func (o *Observer) Answered(r Run, status int) {
	o.Alive(r)
	if !isSuccess(status) {
		return
	}
	o.watch.Succeeded(o.cfg.Now(), r.Instance, r.Fingerprint)
	if o.cfg.Suspects().Suspected(r.Fingerprint) {
		o.cfg.Succeeded(r.Fingerprint)
	}
}

// isSuccess reports whether a status shows that the request was run to its end. A backend
// server may send any other status before it runs the request.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// Abandoned records a run that its caller or this node has stopped waiting for.
func (o *Observer) Abandoned(r Run) {
	o.watch.RecordUnanswered(o.cfg.Now(), r.Instance, r.Fingerprint, quarantine.Abandoned)
}

// ConnectionLost records a run whose connection the backend server closed. Unless the run
// belongs to a crash already detected, it schedules a probe.
func (o *Observer) ConnectionLost(r Run) {
	crash, known := o.watch.RecordUnanswered(o.cfg.Now(), r.Instance, r.Fingerprint, quarantine.ConnectionLost)
	switch {
	case known:
		o.report(r.Instance, crash, []suspect.Fingerprint{r.Fingerprint})
	case o.probing.CompareAndSwap(false, true):
		next := time.Unix(0, o.reachedAt.Load()).Add(probeInterval)
		time.AfterFunc(max(probeDelay, next.Sub(o.cfg.Now())), func() { o.probe(r) })
	}
}

// Restarted records that a new instance of the backend server runs although the given
// instance has sent no goodbye.
func (o *Observer) Restarted(instance string) { o.ended(instance) }

// Unsent records a request that was not sent because no connection could be opened or used.
func (o *Observer) Unsent(r Run, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		o.ended(r.Instance)
	}
}

// probe checks whether the backend server still accepts connections, if runs have lost
// their connections and nothing since has shown whether it crashed.
func (o *Observer) probe(r Run) {
	o.probing.Store(false)
	if !o.watch.Unexplained(r.Instance) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := o.cfg.Now()
	switch err := o.cfg.Reach(ctx, r.Addr); {
	case err == nil:
		o.reachedAt.Store(began.UnixNano())
		o.watch.Alive(began, r.Instance)
	case errors.Is(err, syscall.ECONNREFUSED):
		o.ended(r.Instance)
		o.cfg.Unreachable(r.Instance)
	default:
		_ = o.cfg.Logger.Log("event", "backend_not_probed", "instance", r.Instance, "err", err)
	}
}

// ended reports a crash if runs of the instance have ended without a response shortly
// before. The instance no longer runs.
func (o *Observer) ended(instance string) {
	crash, fingerprints := o.watch.Ended(o.cfg.Now(), instance)
	if crash.ID != 0 {
		o.report(instance, crash, fingerprints)
	}
}

// report counts, logs and reports a crash. An instance that has sent its goodbye is exempt:
// the runs that are in flight when it stops didn't cause its end.
func (o *Observer) report(instance string, crash suspect.Crash, fingerprints []suspect.Fingerprint) {
	if o.cfg.Leaving(instance) {
		return
	}
	o.cfg.Crashes.Inc()
	_ = o.cfg.Logger.Log("event", "backend_crashed", "instance", instance, "crash", crash.ID, "fingerprints", suspect.Join(fingerprints))
	if len(fingerprints) > 0 {
		o.cfg.Crashed(crash, fingerprints)
	}
}
