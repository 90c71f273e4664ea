// Package gate implements the gate in front of a host's backend server, the last hop of a
// request. It counts the slots of that server, queues requests for a slot until their
// deadline, and guarantees that a request it refuses was not run.
package gate

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	core "github.com/jacinthgate/jacinthgate/coordination/gate"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/crash"
	"github.com/jacinthgate/jacinthgate/transport/forward"
	"github.com/jacinthgate/jacinthgate/transport/local"
)

// HeaderShed is the header with which a backend server declares that it shed a request,
// together with status 503 and the value ShedNotRun.
const HeaderShed = "X-Shed"

// ShedNotRun is the value of HeaderShed that declares that the request was not run.
const ShedNotRun = "not-run"

// Config configures a Gate.
type Config struct {
	// Self is the identifier of this node.
	Self model.NodeID
	// Announcement returns the last announcement of the backend server. It is one atomic
	// load.
	Announcement func() local.Announcement
	// Service returns the configuration of a service, or nil if this node doesn't hold it.
	Service func(name string) *model.Service
	// MaxQueue bounds the queue, also if the service allows a longer one; 0 is no bound.
	MaxQueue int
	// Backend sends requests to the backend server. Nil selects a client with the default
	// settings.
	Backend http.RoundTripper
	// Suspects, Crashed and Succeeded are those of crash.Config.
	Suspects  func() *suspect.View
	Crashed   func(suspect.Crash, []suspect.Fingerprint)
	Succeeded func(suspect.Fingerprint)
	// Tick is the interval at which the limits are updated.
	Tick time.Duration
	// RetryAfter is the Retry-After delay sent with a refusal.
	RetryAfter time.Duration
	// ResponseExtension is how long past its deadline a response that has begun may take while it
	// makes progress.
	ResponseExtension time.Duration
	// Metrics is the set that metrics are registered in.
	Metrics *metrics.Set
	// Logger gets one line for each event.
	Logger log.Logger
	// Now is the clock.
	Now func() time.Time
}

// DefaultConfig returns the default settings of the fields that don't depend on the node.
func DefaultConfig() Config {
	return Config{
		Backend:           forward.NewClient(forward.DefaultClientConfig()),
		Tick:              100 * time.Millisecond,
		RetryAfter:        time.Second,
		ResponseExtension: forward.DefaultResponseExtension,
		Metrics:           metrics.NewSet(),
		Logger:            log.NewNopLogger(),
		Now:               time.Now,
	}
}

// Gate is the handler in front of the backend server. It is safe for
// concurrent use.
type Gate struct {
	cfg       Config
	core      *core.Gate
	refusals  sync.Map // outcome.Reason -> *metrics.Counter
	truncated *metrics.Counter
	crashes   *crash.Observer
}

// New returns a gate. It admits requests only once Update or Run has been called.
func New(cfg Config) *Gate {
	d := DefaultConfig()
	if cfg.Backend == nil {
		cfg.Backend = d.Backend
	}
	if cfg.Tick == 0 {
		cfg.Tick = d.Tick
	}
	if cfg.RetryAfter == 0 {
		cfg.RetryAfter = d.RetryAfter
	}
	if cfg.ResponseExtension == 0 {
		cfg.ResponseExtension = d.ResponseExtension
	}
	if cfg.Metrics == nil {
		cfg.Metrics = d.Metrics
	}
	if cfg.Logger == nil {
		cfg.Logger = d.Logger
	}
	if cfg.Now == nil {
		cfg.Now = d.Now
	}
	g := &Gate{cfg: cfg, core: core.New()}
	g.registerMetrics()
	g.crashes = crash.New(crash.Config{
		Suspects:    cfg.Suspects,
		Crashed:     cfg.Crashed,
		Succeeded:   cfg.Succeeded,
		Reach:       forward.Reach,
		Unreachable: func(string) {}, // nothing to do: its announcement expires
		Leaving:     func(instance string) bool { a := g.cfg.Announcement(); return a.Draining && instanceOf(a) == instance },
		Crashes:     cfg.Metrics.GetOrCreateCounter("jacinthgate_gate_backend_crashes_total"),
		Logger:      cfg.Logger,
		Now:         cfg.Now,
	})
	return g
}

// instanceOf returns an identifier of the instance of the backend server that an
// announcement is for.
func instanceOf(a local.Announcement) string {
	return a.Addr + " since " + strconv.FormatInt(a.Since.UnixMilli(), 10)
}

func (g *Gate) registerMetrics() {
	set := g.cfg.Metrics
	g.truncated = set.GetOrCreateCounter("jacinthgate_gate_responses_truncated_total")
	set.GetOrCreateGauge("jacinthgate_gate_slots_used", func() float64 { return float64(g.core.Load().Used) })
	set.GetOrCreateGauge("jacinthgate_gate_slots", func() float64 { return float64(g.core.Load().Slots) })
	set.GetOrCreateGauge("jacinthgate_gate_queued", func() float64 { return float64(g.core.Load().Queued) })
}

// Load returns the gate's load.
func (g *Gate) Load() core.Load { return g.core.Load() }

// Update applies the current announcement and the configuration of its service. It must be
// called after each change of either.
func (g *Gate) Update() {
	a := g.cfg.Announcement()
	l := core.Limits{
		Slots:       a.Slots,
		Connections: a.Connections,
		Since:       a.Since,
		Draining:    a.Draining || !a.Announced(),
	}
	if s := g.cfg.Service(a.Service); s != nil {
		l.OlderSlots = s.OlderSlots
		l.QueueLength = g.queueLength(s)
		l.SlowStart = s.SlowStart.Std()
	}
	g.core.Update(l, g.cfg.Now())
}

// queueLength returns the service's queue length, bounded by MaxQueue.
func (g *Gate) queueLength(s *model.Service) int {
	if g.cfg.MaxQueue > 0 {
		return min(s.QueueLength, g.cfg.MaxQueue)
	}
	return s.QueueLength
}

// Run updates the limits at each tick until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	t := time.NewTicker(g.cfg.Tick)
	defer t.Stop()
	for {
		g.Update()
		g.core.Tick(g.cfg.Now())
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler if a response is
// truncated.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := g.cfg.Now()
	call, refusal := g.check(r, now)
	if refusal != nil {
		g.refuse(w, refusal)
		return
	}
	ctx := forward.NewProgress(r.Context(), call.deadline, g.cfg.ResponseExtension)
	defer ctx.End()
	if refusal = g.acquire(ctx, call); refusal != nil {
		g.refuse(w, refusal)
		return
	}
	if refusal = g.quarantined(call); refusal != nil { // a crash elsewhere may have caused a quarantine meanwhile
		g.core.Release(model.WorkOf(call.kind), 0, g.cfg.Now())
		g.refuse(w, refusal)
		return
	}
	var stream *forward.StreamBody
	if r.ContentLength != 0 {
		stream = forward.NewStreamBody(w, r)
	}
	defer stream.Finish() // after the slot is free
	started := g.cfg.Now()
	call.run.Sent = started
	ran := false
	defer func() {
		end := g.cfg.Now()
		serviceTime := time.Duration(0)
		if ran {
			serviceTime = end.Sub(started)
		}
		g.core.Release(model.WorkOf(call.kind), serviceTime, end)
	}()
	ran = g.forward(ctx, w, r, stream, call)
}

// acquire waits for a slot until the request's deadline. It returns a refusal if the
// request got none.
func (g *Gate) acquire(ctx context.Context, c call) *forward.Refusal {
	reason := g.core.Enter(ctx, core.Request{Work: model.WorkOf(c.kind), Deadline: c.deadline}, g.cfg.Now)
	if reason == "" {
		return nil
	}
	return g.notRun(reason, "the gate could not give the request a slot")
}

// notRun returns a refusal of a request that was not run, with the Retry-After delay.
func (g *Gate) notRun(reason outcome.Reason, detail string) *forward.Refusal {
	r := forward.NotRun(reason, detail)
	r.RetryAfter = g.cfg.RetryAfter
	return r
}

// refuse sends a refusal and counts it.
func (g *Gate) refuse(w http.ResponseWriter, refusal *forward.Refusal) {
	g.refusalCounter(refusal.Reason).Inc()
	g.stamp(w.Header())
	refusal.Write(w)
}

// refusalCounter returns the counter of the refusals with a reason. As an overload causes
// many refusals, it takes the lock of the metric set only once for each reason.
func (g *Gate) refusalCounter(reason outcome.Reason) *metrics.Counter {
	if c, ok := g.refusals.Load(reason); ok {
		return c.(*metrics.Counter)
	}
	c := g.cfg.Metrics.GetOrCreateCounter(`jacinthgate_gate_refusals_total{reason="` + string(reason) + `"}`)
	g.refusals.Store(reason, c)
	return c
}

// stamp sets the headers that every response of the gate carries: the load and this node's
// identifier.
func (g *Gate) stamp(h http.Header) {
	l := g.core.Load()
	var b [3 * 12]byte
	text := strconv.AppendInt(b[:0], int64(l.Used), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(l.Slots), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(l.Queued), 10)
	h[outcome.HeaderLoad] = []string{string(text)}
	h[outcome.HeaderServedBy] = []string{string(g.cfg.Self)}
}
