// Package inbound implements the gate in front of a host's own backend server, on a site
// whose backend servers have an identifier for each instance. It is the last hop of a
// request. The gate admits requests to the slots of the backend server and guarantees that
// a request it refuses has not run. Requests that begin on the same host use it within the
// process, as an http.RoundTripper.
package inbound

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	core "github.com/jacinthgate/jacinthgate/coordination/gate"
	"github.com/jacinthgate/jacinthgate/coordination/pace"
	"github.com/jacinthgate/jacinthgate/coordination/rollout"
	"github.com/jacinthgate/jacinthgate/coordination/serverlimit"
	"github.com/jacinthgate/jacinthgate/protocol/dialect"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/instance"
	"github.com/jacinthgate/jacinthgate/state/route"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/crash"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// Config configures a Gate.
type Config struct {
	// Instance returns the backend server on this host, or nil. It is one atomic load.
	Instance func() *instance.Instance
	// Service returns the configuration of a service; zero if it isn't known.
	Service func(name string) route.Service
	// Cold returns the limits of a backend server that is cold until a time and can handle
	// perSecond requests per second while it is.
	Cold func(perSecond float64, until time.Time) core.RateLimit
	// Leaving is called with the key of the instance when a response states that the backend
	// server is shutting down.
	Leaving func(key string)
	// ColdUnknown reports whether the rate that a cold backend server can handle isn't
	// known yet.
	ColdUnknown func() bool
	// Evacuated reports whether requests are refused because the availability zone is
	// evacuated.
	Evacuated func() bool
	// Weight returns the weight of an organisation in the sharing of scarce slots. It is
	// called only for requests that name an organisation.
	Weight func(organisation string) float64
	// Dialect translates between node headers and the headers of the backend server.
	Dialect dialect.Dialect
	// Backend sends requests to the backend server.
	Backend *forward.Client
	// ResponseShaper paces large responses to other nodes. UploadShaper admits the bodies
	// of uploads from them according to the backlog.
	ResponseShaper, UploadShaper *pace.Shaper
	// DrainGrace is how long a draining backend server still gets requests, as other nodes
	// may have sent them before they learned of the drain.
	DrainGrace time.Duration
	// AnswerGrace is how long after its deadline a request is left to the backend server,
	// which sends a response to a late request by itself.
	AnswerGrace time.Duration
	// ResponseExtension is how much longer a response that has begun may take while it makes progress.
	ResponseExtension time.Duration
	// Runs registers the runs of retries.
	Runs *attempt.Runs
	// BudgetUsage returns the usage of the retry budget by the nested calls of those runs.
	BudgetUsage func(now time.Time) attempt.BudgetUsage
	// Suspects, Crashed and Succeeded are those of crash.Config.
	Suspects  func() *suspect.View
	Crashed   func(suspect.Crash, []suspect.Fingerprint)
	Succeeded func(suspect.Fingerprint)
	// Unreachable is called with the key of the instance when the backend server refuses a
	// connection.
	Unreachable func(key string)
	// Replaced is called with the key of the instance when another backend server responds
	// at its address.
	Replaced func(key string)
	// Meter counts the results of the requests that are run.
	Meter *rollout.Meter
	// Routing returns which versions of backend servers get requests; nil if there is no
	// roll-out. It is one atomic load.
	Routing func() *rollout.RoutingTable
	// Metrics is the set that metrics are registered in.
	Metrics *metrics.Set
	// Logger gets one line for each event. Details gets the events of single attempts of a
	// request; if it is nil, they go to Logger.
	Logger, Details log.Logger
	// Now is the clock.
	Now func() time.Time
}

// Gate admits requests to the backend server on this host. It is safe for
// concurrent use.
type Gate struct {
	cfg      Config
	core     *core.Gate
	refusals sync.Map     // outcome.Reason -> *metrics.Counter
	serving  atomic.Int64 // requests of other nodes in flight
	// buffered is the total size of the large responses in memory, in bytes.
	buffered atomic.Int64
	// sending limits the number of large responses that are sent at the same time.
	sending chan struct{}
	// receiving holds one element while an upload's body is received.
	receiving chan struct{}
	crashes   *crash.Observer
	// unreadable counts the backend server's load reports that could not be parsed.
	unreadable *metrics.Counter
	// sent counts the requests that were sent to the backend server.
	sent *metrics.Counter
	// limit is the rate limit that the backend server states.
	limit      serverlimit.Tracker
	applying   sync.Mutex // held while the limits of the backend server are applied
	statements statementLog
}

// New returns a gate. It refuses all requests until Update is called.
func New(cfg Config) *Gate {
	if cfg.Details == nil {
		cfg.Details = cfg.Logger
	}
	g := &Gate{cfg: cfg, core: core.New(), sending: make(chan struct{}, maxConcurrentSends), receiving: make(chan struct{}, 1)}
	g.crashes = crash.New(crash.Config{
		Suspects:    cfg.Suspects,
		Crashed:     cfg.Crashed,
		Succeeded:   cfg.Succeeded,
		Reach:       cfg.Backend.Reach,
		Unreachable: cfg.Unreachable,
		Leaving:     g.leaving,
		Crashes:     cfg.Metrics.GetOrCreateCounter("jacinthgate_inbound_backend_crashes_total"),
		Logger:      cfg.Logger,
		Now:         cfg.Now,
	})
	g.unreadable = cfg.Metrics.GetOrCreateCounter("jacinthgate_inbound_loads_unreadable_total")
	g.sent = cfg.Metrics.GetOrCreateCounter("jacinthgate_inbound_sent_total")
	g.statements.unreadable = cfg.Metrics.GetOrCreateCounter("jacinthgate_inbound_statements_unreadable_total")
	cfg.Metrics.GetOrCreateGauge("jacinthgate_inbound_stated_limit", g.statedLimit)
	cfg.Metrics.GetOrCreateGauge("jacinthgate_inbound_host_slowdown", g.slowdown)
	cfg.Metrics.GetOrCreateGauge("jacinthgate_inbound_slots_used", func() float64 { return float64(g.core.Load().Used) })
	cfg.Metrics.GetOrCreateGauge("jacinthgate_inbound_slots", func() float64 { return float64(g.core.Load().Slots) })
	cfg.Metrics.GetOrCreateGauge("jacinthgate_inbound_queued", func() float64 { return float64(g.core.Load().Queued) })
	cfg.Metrics.GetOrCreateGauge("jacinthgate_inbound_link_backlog_seconds", func() float64 { return cfg.ResponseShaper.Backlog(cfg.Now()).Seconds() })
	return g
}

// Serving returns the number of requests of other nodes that are in flight.
func (g *Gate) Serving() int { return int(g.serving.Load()) }

// Load returns the gate's load.
func (g *Gate) Load() core.Load { return g.core.Load() }

// leaving reports whether an instance of the backend server has sent its goodbye.
func (g *Gate) leaving(key string) bool {
	i := g.cfg.Instance()
	return i != nil && i.Key() == key && i.State != instance.Ready
}

// Restarted records that a new instance of the backend server has registered although the
// instance with the key has sent no goodbye.
func (g *Gate) Restarted(key string) { g.crashes.Restarted(key) }

// maxBufferedRequest is the largest request body that is read whole before the request is
// admitted, in bytes. A slow sender then holds no slot. Other nodes send bodies that they
// have buffered themselves without a delay.
const maxBufferedRequest = 64 << 10

// ServeHTTP implements http.Handler, for requests of other nodes. It panics with
// http.ErrAbortHandler if a response is truncated.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.serving.Add(1)
	defer g.serving.Add(-1)
	body, stream := g.body(w, r)
	in := forward.NewRequest(r.Context(), r, "http", "", body, r.ContentLength)
	if in.Header[outcome.HeaderExpectAdded] != nil {
		delete(in.Header, "Expect") // reading the body sends 100 Continue
		t := g.awaitTurn(r)
		if t == nil {
			_ = forward.Relay(w, g.refuse(in, outcome.ReasonQueueFull, false)) // an error means that the entry node has gone
			return
		}
		defer t.done()
		t.follow(stream, g.cfg.Now)
	}
	serve := g.serveSmall
	if isBulk(in.Header) {
		serve = g.serveBulk
	}
	if err := serve(w, in); err != nil {
		g.logCut(r.Header, r.Header.Get(outcome.HeaderInstance), err)
		stream.Detach(w)
		panic(http.ErrAbortHandler)
	}
	stream.Finish()
}

// body returns the request body to send on: buffered if it is small, else as a stream. If a
// small body is truncated, it aborts the connection; nothing was sent then.
func (g *Gate) body(w http.ResponseWriter, r *http.Request) (io.ReadCloser, *forward.StreamBody) {
	switch {
	case r.ContentLength == 0:
		return r.Body, nil
	case r.ContentLength < 0 || r.ContentLength > maxBufferedRequest || r.Header[outcome.HeaderExpectAdded] != nil:
		stream := forward.NewStreamBody(w, r)
		return stream, stream
	}
	buffered := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, buffered); err != nil {
		panic(http.ErrAbortHandler)
	}
	return forward.NewBufferedBody(buffered), nil
}

// serveSmall serves a request whose response needs no pacing.
func (g *Gate) serveSmall(w http.ResponseWriter, req *http.Request) error {
	resp, err := g.RoundTrip(req)
	if err != nil {
		return err
	}
	g.cfg.ResponseShaper.CountSmall(g.cfg.Now(), headBytes+max(0, resp.ContentLength))
	return relay(w, req, resp, nil)
}

// headBytes is the estimated size of a response's head, in bytes. The headers of the
// platform and of the nodes take about that much.
const headBytes = 400

// RoundTrip implements http.RoundTripper. It reports each failure as a response with node
// headers; the error is always nil. The caller must close the response's body.
func (g *Gate) RoundTrip(req *http.Request) (*http.Response, error) {
	now := g.cfg.Now()
	c, reason := g.check(req, now)
	if reason != "" {
		return g.refuse(req, reason, false), nil
	}
	waitCtx, cancelWait := context.WithDeadline(req.Context(), c.Deadline)
	reason = g.core.Enter(waitCtx, c.Request, g.cfg.Now)
	cancelWait()
	if reason != "" {
		return g.refuse(req, reason, false), nil
	}
	// The state of the backend server may have changed while the request was queued.
	if i := g.cfg.Instance(); i == nil || i.Key() != c.instance.Key() || g.drainGraceOver(i, g.cfg.Now()) {
		g.core.Release(c.Work, 0, g.cfg.Now())
		return g.refuse(req, outcome.ReasonDraining, false), nil
	}
	if g.cfg.Evacuated() {
		g.core.Release(c.Work, 0, g.cfg.Now())
		return g.refuse(req, outcome.ReasonEvacuated, false), nil
	}
	if g.withdrawn(c.instance) {
		g.core.Release(c.Work, 0, g.cfg.Now())
		return g.refuse(req, outcome.ReasonWithdrawn, false), nil
	}
	if !c.startBy.IsZero() && g.cfg.Now().After(c.startBy) {
		g.core.Release(c.Work, 0, g.cfg.Now())
		return g.refuse(req, outcome.ReasonUnproved, false), nil
	}
	if g.quarantined(&c) { // a crash elsewhere may have caused a quarantine meanwhile
		g.core.Release(c.Work, 0, g.cfg.Now())
		return g.refuse(req, outcome.ReasonQuarantined, false), nil
	}
	return g.send(req, c), nil
}
