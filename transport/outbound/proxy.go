// Package outbound is where requests of the callers on a host enter the mesh.
// It finds a request's route, picks a backend server, sends the request to the
// gate in front of it, and repeats it elsewhere where that is allowed.
package outbound

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/random"
	"github.com/jacinthgate/jacinthgate/coordination/rollout"
	"github.com/jacinthgate/jacinthgate/protocol/dialect"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/route"
	"github.com/jacinthgate/jacinthgate/state/suspect"
)

// Config configures a Proxy.
type Config struct {
	// Self is this node, and Zone its availability zone.
	Self model.NodeID
	Zone model.Zone
	// Table returns the routes in force, or nil when none are held. It is one
	// atomic load.
	Table func() *route.Table
	// View returns the backend servers. It is one atomic load.
	View func() *endpoint.View
	// Routing returns which backend servers requests may be sent to in a roll-out. It is
	// one atomic load; nil knows of none.
	Routing func() *rollout.RoutingTable
	// CallerService returns the service of the backend server on this host.
	CallerService func() string
	// Balance picks backend servers.
	Balance *balance.Picker
	// Policy bounds the attempts.
	Policy attempt.Policy
	// Budget bounds the repeats.
	Budget *attempt.Budget
	// Runs are the repeated runs under way at this host's backend server.
	Runs *attempt.Runs
	// Quotas bounds the requests of organisations; nil bounds none.
	Quotas Quotas
	// Currency proves the configuration in force; nil where requests need no proof.
	Currency Currency
	// Suspects returns the requests that are suspected to crash backend servers. It is
	// one atomic load.
	Suspects func() *suspect.View
	// Dialect speaks with callers.
	Dialect dialect.Dialect
	// Local sends to this host's own gate, Near to those of other nodes in the
	// zone, and Far to those in other zones.
	Local, Near, Far http.RoundTripper
	// MaxKept is the size up to which bodies are kept, in bytes: of requests,
	// so that they can be sent again, and of responses, so that one that breaks
	// off can be replaced.
	MaxKept int64
	// Seed seeds the random choices.
	Seed uint64
	// Metrics is the set that metrics are registered in.
	Metrics *metrics.Set
	// Logger gets one line for each event, and Details those on attempts that are part of a
	// request; nil is Logger.
	Logger, Details log.Logger
	// Now is the clock.
	Now func() time.Time
}

// Proxy serves callers. It is safe for concurrent use.
type Proxy struct {
	cfg      Config
	rand     *random.Source
	started  time.Time
	outcomes sync.Map // label -> *metrics.Counter
	times    sync.Map // class -> *metrics.Histogram
	returns  *attempt.RefusalHistory
	together *attempt.CallGroups
	returned *metrics.Counter
	held     atomic.Int64              // bytes of large answers that are read whole
	end      atomic.Pointer[time.Time] // nil while the node isn't ending
}

// New returns a proxy.
func New(cfg Config) *Proxy {
	if cfg.Details == nil {
		cfg.Details = cfg.Logger
	}
	return &Proxy{
		cfg: cfg, rand: random.New(cfg.Seed), started: cfg.Now(), returns: attempt.NewRefusalHistory(), together: attempt.NewCallGroups(),
		returned: cfg.Metrics.GetOrCreateCounter("jacinthgate_outbound_returned_total"),
	}
}

// ServeHTTP implements http.Handler. A response that breaks off makes it panic
// with http.ErrAbortHandler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := p.cfg.Now()
	if a, ok := w.(interface{ Arrived() time.Time }); ok {
		began = a.Arrived()
	}
	table := p.cfg.Table()
	if table == nil {
		p.reject(w, r, refusal{status: http.StatusServiceUnavailable, reason: outcome.ReasonNotReady, after: p.comeBackToStart(began)})
		return
	}
	found := table.Lookup(r.Host, r.URL.EscapedPath())
	if found == nil {
		p.reject(w, r, refusal{status: http.StatusNotFound, reason: outcome.ReasonNoRoute})
		return
	}
	if found.Fault != nil {
		p.reject(w, r, refusal{status: http.StatusServiceUnavailable, reason: outcome.ReasonRouteFault, after: attempt.RetryAfterRouteFault(p.rand.Float64())})
		return
	}
	if n := table.Limits().BodyBytes; n > 0 && r.ContentLength > n {
		p.reject(w, r, refusal{status: http.StatusRequestEntityTooLarge, reason: outcome.ReasonTooLarge})
		return
	}
	organisation, refused := p.authorise(r, table, found)
	if refused != nil {
		p.reject(w, r, *refused)
		return
	}
	x := newExchange(p, w, r, table, found, began)
	x.organisation = organisation
	defer x.cancel()
	if refused := x.run(); refused != nil {
		refused.organisation = x.organisation
		p.reject(w, r, *refused)
	}
	p.observe(found, p.cfg.Now().Sub(began))
}

// comeBackToStart returns when the caller of a node that starts should come back.
func (p *Proxy) comeBackToStart(now time.Time) time.Duration {
	return attempt.RetryAfterStart(now.Sub(p.started), p.rand.Float64())
}

// way returns what sends to a backend server's gate.
func (p *Proxy) way(to *endpoint.Record) http.RoundTripper {
	switch {
	case to.Node == p.cfg.Self:
		return p.cfg.Local
	case to.Zone == p.cfg.Zone:
		return p.cfg.Near
	}
	return p.cfg.Far
}

// refusal is an answer that doesn't come from a backend server.
type refusal struct {
	status int
	reason outcome.Reason
	// after is when to come back; 0 says nothing about it.
	after time.Duration
	// organisation is whose request it is; nil where that isn't known.
	organisation *route.Organisation
}

// of returns the name of whose request it is; empty where that isn't known.
func (f *refusal) of() string {
	if f.organisation == nil {
		return ""
	}
	return f.organisation.Name
}

// reject answers with a refusal.
func (p *Proxy) reject(w http.ResponseWriter, r *http.Request, f refusal) {
	p.count(f.status, f.reason)
	_ = p.cfg.Logger.Log("event", "request_refused", "request", p.cfg.Dialect.RequestID(r.Header),
		"host", r.Host, "path", r.URL.Path, "version", p.version(), "status", f.status, "reason", f.reason,
		"organisation", f.of(), "retry_after", f.after)
	h := w.Header()
	if f.after > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(f.after.Seconds(), 'f', 3, 64)}
	}
	h["Content-Length"] = []string{"0"}
	w.WriteHeader(f.status)
}

// version returns the version of the routes in force; 0 without any.
func (p *Proxy) version() route.Version {
	if t := p.cfg.Table(); t != nil {
		return t.Version()
	}
	return 0
}

// count counts the answers that don't come from backend servers.
func (p *Proxy) count(status int, reason outcome.Reason) {
	name := `jacinthgate_outbound_refusals_total{status="` + strconv.Itoa(status) + `",reason="` + string(reason) + `"}`
	c, ok := p.outcomes.Load(name)
	if !ok {
		c, _ = p.outcomes.LoadOrStore(name, p.cfg.Metrics.GetOrCreateCounter(name))
	}
	c.(*metrics.Counter).Inc()
}

// observe notes how long a request of a class took.
func (p *Proxy) observe(r *route.Route, took time.Duration) {
	h, ok := p.times.Load(r.Kind)
	if !ok {
		name := `jacinthgate_outbound_seconds{class="` + string(r.Kind) + `"}`
		h, _ = p.times.LoadOrStore(r.Kind, p.cfg.Metrics.GetOrCreateHistogram(name))
	}
	h.(*metrics.Histogram).Update(took.Seconds())
}
