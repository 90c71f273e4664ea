// Package inbound is the last hop in front of a host's own backend server, on a
// site whose backend servers have incarnations of their own. It admits requests
// to the backend server's slots and refuses with certainty: what it refuses has
// not run. It is also used in the process itself, as an http.RoundTripper, by
// requests that begin on the same host.
package inbound

import (
	"cmp"
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
	// Instance returns the backend server on this host, or nil. It is one
	// atomic load.
	Instance func() *instance.Instance
	// Service returns the configuration of a service; zero when it isn't known.
	Service func(name string) route.Service
	// Cold returns the limits of a backend server that is cold until a time and can handle
	// perSecond requests per second meanwhile.
	Cold func(perSecond float64, until time.Time) core.ColdLimits
	// ColdUnknown reports whether it isn't known yet how much a cold backend server can handle.
	ColdUnknown func() bool
	// Evacuated reports whether requests are refused because the availability zone is
	// evacuated.
	Evacuated func() bool
	// Weight returns the weight of an organisation, by which slots that are short are
	// shared. It is asked only for requests that name one.
	Weight func(organisation string) float64
	// Dialect speaks with the backend server.
	Dialect dialect.Dialect
	// Backend sends to the backend server.
	Backend *forward.Client
	// Lane paces large answers to other nodes, and Uploads admits the bodies of uploads from them.
	Lane, Uploads *pace.Shaper
	// DrainGrace is how long a leaving backend server still takes requests that
	// other nodes have sent before they knew.
	DrainGrace time.Duration
	// AnswerGrace is how long past its deadline a request is left to the
	// backend server, which answers a late request by itself.
	AnswerGrace time.Duration
	// Runs is told of the runs that are repeats.
	Runs *attempt.Runs
	// Strain returns what the calls of those take of the bound on repeats.
	Strain func(now time.Time) attempt.BudgetUsage
	// Suspects, Crashed and Succeeded are those of crash.Config.
	Suspects  func() *suspect.View
	Crashed   func(suspect.Crash, []suspect.Fingerprint)
	Succeeded func(suspect.Fingerprint)
	// Unreachable is told the key of the instance when a connection to the backend
	// server is refused.
	Unreachable func(key string)
	// Replaced is told the key of the instance when another backend server has the
	// address.
	Replaced func(key string)
	// Meter counts what becomes of the requests that are run.
	Meter *rollout.Meter
	// Routing returns which versions of backend servers get requests. It is one atomic
	// load; nil knows of no roll-out.
	Routing func() *rollout.RoutingTable
	// Metrics is the set that metrics are registered in.
	Metrics *metrics.Set
	// Logger gets one line for each event, and Details those on attempts that are part of a
	// request; nil is Logger.
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
	serving  atomic.Int64 // requests of other nodes
	// held are the bytes of large answers that are being sent.
	held atomic.Int64
	// sending bounds the large answers that are sent at one time.
	sending chan struct{}
	// receiving holds the upload whose body is received.
	receiving chan struct{}
	crashes   *crash.Observer
	// unreadable counts the loads of the backend server that can't be read.
	unreadable *metrics.Counter
}

// New returns a gate. Update must be called for it to let requests in.
func New(cfg Config) *Gate {
	if cfg.Details == nil {
		cfg.Details = cfg.Logger
	}
	g := &Gate{cfg: cfg, core: core.New(), sending: make(chan struct{}, maxSending), receiving: make(chan struct{}, 1)}
	g.crashes = crash.New(crash.Config{
		Suspects:  cfg.Suspects,
		Crashed:   cfg.Crashed,
		Succeeded: cfg.Succeeded,
		Reach:     cfg.Backend.Reach,
		Gone:      cfg.Unreachable,
		Leaving:   g.leaving,
		Crashes:   cfg.Metrics.GetOrCreateCounter("jacinthgate_inbound_backend_crashes_total"),
		Logger:    cfg.Logger,
		Now:       cfg.Now,
	})
	g.unreadable = cfg.Metrics.GetOrCreateCounter("jacinthgate_inbound_loads_unreadable_total")
	cfg.Metrics.GetOrCreateGauge("jacinthgate_inbound_host_slowdown", g.slowdown)
	cfg.Metrics.GetOrCreateGauge("jacinthgate_inbound_slots_used", func() float64 { return float64(g.core.Load().Used) })
	cfg.Metrics.GetOrCreateGauge("jacinthgate_inbound_slots", func() float64 { return float64(g.core.Load().Slots) })
	cfg.Metrics.GetOrCreateGauge("jacinthgate_inbound_queued", func() float64 { return float64(g.core.Load().Queued) })
	cfg.Metrics.GetOrCreateGauge("jacinthgate_inbound_link_backlog_seconds", func() float64 { return cfg.Lane.Backlog(cfg.Now()).Seconds() })
	return g
}

// Serving returns the number of requests of other nodes that are under way.
func (g *Gate) Serving() int { return int(g.serving.Load()) }

// Load returns the gate's load.
func (g *Gate) Load() core.Load { return g.core.Load() }

// queuePerSlot bounds the requests that wait, for each slot of the backend
// server: more would wait past any useful time.
const queuePerSlot = 4

// Update takes over what is known of the backend server. Call it after each
// change and about every 100 ms.
func (g *Gate) Update() {
	l := core.Limits{Draining: true}
	now := g.cfg.Now()
	if i := g.cfg.Instance(); i != nil {
		service := g.cfg.Service(i.Service)
		l.Slots = i.Slots
		l.Connections = cmp.Or(service.Connections, i.Slots)
		l.QueueLength = queuePerSlot * i.Slots
		l.Cold = g.cfg.Cold(service.ColdPerSecond, i.WarmAt)
		l.Draining = g.left(i, now) || g.cfg.Evacuated()
	}
	g.core.Update(l, now)
	g.core.Tick(now)
}

// left reports whether the backend server takes no further requests.
func (g *Gate) left(i *instance.Instance, now time.Time) bool {
	return i.State != instance.Ready && now.Sub(i.DrainSince) >= g.cfg.DrainGrace
}

// withdrawn reports whether the backend server is of a version that gets nothing: an
// entry node may not know it yet.
func (g *Gate) withdrawn(i *instance.Instance) bool {
	return g.cfg.Routing().Of(i.Service).Rejects(i.Version)
}

// leaving reports whether a start of the backend server has said goodbye.
func (g *Gate) leaving(key string) bool {
	i := g.cfg.Instance()
	return i != nil && i.Key() == key && i.State != instance.Ready
}

// Restarted notes that another start of the backend server has registered than the one
// with the key, which has said no goodbye.
func (g *Gate) Restarted(key string) { g.crashes.Restarted(key) }

// maxKept bounds a request's body that is read before anything is sent, in
// bytes: a slow sender then holds no slot. Nodes send what they keep themselves
// at once.
const maxKept = 64 << 10

// ServeHTTP implements http.Handler, for requests of other nodes. A response
// that breaks off makes it panic with http.ErrAbortHandler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.serving.Add(1)
	defer g.serving.Add(-1)
	body, stream := g.body(w, r)
	in := forward.NewRequest(r.Context(), r, "http", "", body, r.ContentLength)
	if in.Header[outcome.HeaderAsked] != nil {
		delete(in.Header, "Expect") // reading the body sends 100 Continue
		t := g.awaitTurn(r)
		if t == nil {
			_ = forward.Relay(w, g.refuse(in, outcome.ReasonQueueFull, false)) // the entry node has left
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
		g.noteCut(r.Header, r.Header.Get(outcome.HeaderInstance), err)
		stream.Detach(w)
		panic(http.ErrAbortHandler)
	}
}

// body returns the body to send on: whole where it is small, or else as a
// stream. A small one that breaks off ends the connection; nothing was sent.
func (g *Gate) body(w http.ResponseWriter, r *http.Request) (io.ReadCloser, *forward.StreamBody) {
	switch {
	case r.ContentLength == 0:
		return r.Body, nil
	case r.ContentLength < 0 || r.ContentLength > maxKept || r.Header[outcome.HeaderAsked] != nil:
		stream := forward.NewStreamBody(w, r)
		return stream, stream
	}
	kept := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, kept); err != nil {
		panic(http.ErrAbortHandler)
	}
	return forward.NewKeptBody(kept), nil
}

// serveSmall serves a request whose answer needs no pacing.
func (g *Gate) serveSmall(w http.ResponseWriter, req *http.Request) error {
	resp, err := g.RoundTrip(req)
	if err != nil {
		return err
	}
	g.cfg.Lane.CountSmall(g.cfg.Now(), headBytes+max(0, resp.ContentLength))
	return relay(w, req, resp, nil)
}

// headBytes stands for the head of an answer, in bytes: the platform's and the
// nodes' own headers are about so long.
const headBytes = 400

// RoundTrip implements http.RoundTripper. Every failure is an answer with node
// headers; the error is always nil. The response's body must be closed.
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
	// The backend server may have left while the request waited.
	if i := g.cfg.Instance(); i == nil || i.Key() != c.instance.Key() || g.left(i, g.cfg.Now()) {
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
	if g.crashes.Quarantined(c.fingerprint) { // another backend server has crashed meanwhile
		g.core.Release(c.Work, 0, g.cfg.Now())
		return g.refuse(req, outcome.ReasonQuarantined, false), nil
	}
	return g.send(req, c), nil
}
