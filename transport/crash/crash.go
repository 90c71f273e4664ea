// Package crash sees, from the gate in front of a backend server, when that server
// crashes and which requests were under way, and keeps requests that do it from
// reaching it.
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
	// probeDelay is how long after a run broke off the traffic has to tell whether the
	// backend server is still there, before it is looked at. A request every 20 ms is
	// less than the users' backend servers get, so that few looks are made.
	probeDelay = 20 * time.Millisecond
	// probeInterval is the least time after a look that has found the backend server:
	// those that reset connections when they are full break off many runs, and each look
	// is one more connection.
	probeInterval = time.Second
	// probeTimeout bounds that look; opening a connection takes some milliseconds.
	probeTimeout = 200 * time.Millisecond
)

// Config configures an Observer.
type Config struct {
	// Suspects returns the requests that are suspected to crash backend servers. It is
	// one atomic load. Nil suspects none.
	Suspects func() *suspect.View
	// Crashed is told when the backend server has ended without a goodbye, and which
	// requests were under way; Succeeded when a suspected request has succeeded. Nil
	// tells nobody.
	Crashed   func(suspect.Crash, []suspect.Fingerprint)
	Succeeded func(suspect.Fingerprint)
	// Reach opens a connection to the backend server and closes it again.
	Reach func(ctx context.Context, addr string) error
	// Gone is told when the backend server refuses connections.
	Gone func(instance string)
	// Leaving reports whether a start of the backend server has said goodbye.
	Leaving func(instance string) bool
	// Crashes counts the crashes.
	Crashes *metrics.Counter
	// Logger gets one line for each event.
	Logger log.Logger
	// Now is the clock.
	Now func() time.Time
}

// Run is one request at the backend server.
type Run struct {
	// Instance identifies the start of the backend server, and Addr is its address.
	Instance, Addr string
	// Fingerprint is that of what the request asks for; 0 where the entry node
	// tells none.
	Fingerprint suspect.Fingerprint
	// Sent is when the request was sent.
	Sent time.Time
}

// Observer follows the runs of one host's backend server. It is safe for concurrent
// use.
type Observer struct {
	cfg   Config
	watch quarantine.Watch
	// probing is set while a look at the backend server is due, and foundAt is when the
	// last one has found it, in nanoseconds of Unix time.
	probing atomic.Bool
	foundAt atomic.Int64
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

// Fingerprint returns what a request of an entry node asks for. Of one without a body
// the head tells it, which spares the header its 15 bytes between zones; 0 where an
// older node sends a body and no header. The error is a *suspect.FingerprintError.
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

// Quarantined reports whether a request is not to be sent.
func (o *Observer) Quarantined(f suspect.Fingerprint) bool {
	return o.cfg.Suspects().Quarantined(f)
}

// Alive notes that the backend server has answered without running the request.
func (o *Observer) Alive(r Run) { o.watch.Alive(r.Sent, r.Instance) }

// Answered notes a whole answer.
func (o *Observer) Answered(r Run, status int) {
	o.Alive(r)
	if isSuccess(status) && o.cfg.Suspects().Suspected(r.Fingerprint) {
		o.cfg.Succeeded(r.Fingerprint)
	}
}

// isSuccess reports whether a status says that the request was run and done. Other
// answers may come before the run.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// Left notes a run that its caller or this node has given up.
func (o *Observer) Left(r Run) {
	o.watch.RecordUnanswered(o.cfg.Now(), r.Instance, r.Fingerprint, quarantine.Abandoned)
}

// Broken notes a run that the backend server broke off.
func (o *Observer) Broken(r Run) {
	crash, known := o.watch.RecordUnanswered(o.cfg.Now(), r.Instance, r.Fingerprint, quarantine.ConnectionLost)
	switch {
	case known:
		o.report(r.Instance, crash, []suspect.Fingerprint{r.Fingerprint})
	case o.probing.CompareAndSwap(false, true):
		next := time.Unix(0, o.foundAt.Load()).Add(probeInterval)
		time.AfterFunc(max(probeDelay, next.Sub(o.cfg.Now())), func() { o.probe(r) })
	}
}

// Restarted notes that another start of the backend server runs than the one that is
// named, which has said no goodbye.
func (o *Observer) Restarted(instance string) { o.ended(instance) }

// Unsent notes a request for which no connection could be used.
func (o *Observer) Unsent(r Run, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		o.ended(r.Instance)
	}
}

// probe looks whether the backend server still accepts connections, where runs broke
// off and nothing else has told since.
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
		o.foundAt.Store(began.UnixNano())
		o.watch.Alive(began, r.Instance)
	case errors.Is(err, syscall.ECONNREFUSED):
		o.ended(r.Instance)
		o.cfg.Gone(r.Instance)
	default:
		_ = o.cfg.Logger.Log("event", "backend_not_probed", "instance", r.Instance, "err", err)
	}
}

// ended takes the evidence where the backend server is gone.
func (o *Observer) ended(instance string) {
	crash, fingerprints := o.watch.Ended(o.cfg.Now(), instance)
	if len(fingerprints) > 0 {
		o.report(instance, crash, fingerprints)
	}
}

// report tells of a crash. A backend server that has said goodbye ends with runs under
// way that are not to blame.
func (o *Observer) report(instance string, crash suspect.Crash, fingerprints []suspect.Fingerprint) {
	if o.cfg.Leaving(instance) {
		return
	}
	o.cfg.Crashes.Inc()
	_ = o.cfg.Logger.Log("event", "backend_crashed", "instance", instance, "crash", crash.ID, "fingerprints", suspect.Join(fingerprints))
	o.cfg.Crashed(crash, fingerprints)
}
