// Package outbound is the entry proxy: it accepts the requests of callers on its
// host, finds the route, picks a backend server, sends the request to the gate in
// front of that server, and retries it at other servers where that is allowed.
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
	"github.com/jacinthgate/jacinthgate/coordination/serverlimit"
	"github.com/jacinthgate/jacinthgate/protocol/dialect"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/route"
	"github.com/jacinthgate/jacinthgate/state/suspect"
)

// Config configures a Proxy.
type Config struct {
	// Self is this node's ID, and Zone its availability zone.
	Self model.NodeID
	Zone model.Zone
	// Table returns the routes in force, or nil before any have been loaded. It is
	// one atomic load.
	Table func() *route.Table
	// View returns the known backend servers. It is one atomic load.
	View func() *endpoint.View
	// Routing returns, for each service in a roll-out, the backend servers that requests
	// may be sent to. It is one atomic load; nil means that no service is in a roll-out.
	Routing func() *rollout.RoutingTable
	// CallerService returns the service of the backend server on this host.
	CallerService func() string
	// Balance picks backend servers.
	Balance *balance.Picker
	// Policy decides after each attempt whether another one may follow.
	Policy attempt.Policy
	// Budget is the retry budget.
	Budget *attempt.Budget
	// Runs holds the retries in progress at this host's backend server: a request that
	// it sends meanwhile may be a nested call of one of them.
	Runs *attempt.Runs
	// Quotas enforces the quotas of organisations; nil enforces none.
	Quotas Quotas
	// Freshness is the proof that the configuration in force is recent; nil where requests
	// need no proof.
	Freshness Freshness
	// Leaving is called with the instance of a backend server that states in a response that
	// it is shutting down. The instance must not be a candidate from then on.
	Leaving func(instance string)
	// Suspects returns the requests that are suspected of crashing backend servers. It is
	// one atomic load.
	Suspects func() *suspect.View
	// Trials allows trials of quarantined requests; nil allows none.
	Trials Trials
	// Dialect reads and writes the callers' headers.
	Dialect dialect.Dialect
	// Local sends to the gate of this host, Near to gates of other nodes in the zone,
	// and Far to gates in other zones.
	Local, Near, Far http.RoundTripper
	// MaxBodyBuffer is the size in bytes up to which bodies are buffered: request bodies so
	// that they can be sent again, response bodies so that a truncated response can be
	// replaced by that of another attempt.
	MaxBodyBuffer int64
	// ResponseExtension is how long past its deadline a response that has begun may take while it
	// makes progress.
	ResponseExtension time.Duration
	// Seed seeds the random number generator.
	Seed uint64
	// Metrics is the set that metrics are registered in.
	Metrics *metrics.Set
	// Logger receives one line for each event, and Details the lines about single attempts
	// of a request; a nil Details is replaced by Logger.
	Logger, Details log.Logger
	// Now is the clock.
	Now func() time.Time
}

// Proxy is the HTTP handler for the callers on this host. It is safe for concurrent use.
type Proxy struct {
	cfg           Config
	rand          *random.Source
	started       time.Time
	counters      sync.Map // label -> *metrics.Counter
	durations     sync.Map // class -> *metrics.Histogram
	refusals      *attempt.RefusalHistory
	callGroups    *attempt.CallGroups
	callerRetries *metrics.Counter
	limits        serverlimit.Known         // rate limits that backend servers have stated
	bufferedBytes atomic.Int64              // bytes reserved for buffering large responses
	shutdownEnd   atomic.Pointer[time.Time] // end of the shutdown; nil before BeginShutdown
}

// New returns a proxy.
func New(cfg Config) *Proxy {
	if cfg.Details == nil {
		cfg.Details = cfg.Logger
	}
	if cfg.Trials == nil {
		cfg.Trials = noTrials{}
	}
	return &Proxy{
		cfg: cfg, rand: random.New(cfg.Seed), started: cfg.Now(), refusals: attempt.NewRefusalHistory(), callGroups: attempt.NewCallGroups(),
		callerRetries: cfg.Metrics.GetOrCreateCounter("jacinthgate_outbound_returned_total"),
	}
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler where a
// response is truncated after its first byte was sent to the caller.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := p.cfg.Now()
	if a, ok := w.(interface{ Arrived() time.Time }); ok {
		arrived = a.Arrived()
	}
	table := p.cfg.Table()
	if table == nil {
		p.reject(w, r, refusal{status: http.StatusServiceUnavailable, reason: outcome.ReasonNotReady, retryAfter: p.retryAfterStart(arrived)})
		return
	}
	found := table.Lookup(r.Host, r.URL.EscapedPath())
	if found == nil {
		p.reject(w, r, refusal{status: http.StatusNotFound, reason: outcome.ReasonNoRoute})
		return
	}
	if found.Fault != nil {
		p.reject(w, r, refusal{status: http.StatusServiceUnavailable, reason: outcome.ReasonRouteFault, retryAfter: attempt.RetryAfterRouteFault(p.rand.Float64())})
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
	x := newExchange(p, w, r, table, found, arrived)
	x.organisation = organisation
	defer x.cancel()
	if refused := x.run(); refused != nil {
		refused.organisation = x.organisation
		p.reject(w, r, *refused)
	}
	p.observeDuration(found, p.cfg.Now().Sub(arrived))
}

// retryAfterStart returns the Retry-After delay for a request that is refused because
// this node is still starting.
func (p *Proxy) retryAfterStart(now time.Time) time.Duration {
	return attempt.RetryAfterStart(now.Sub(p.started), p.rand.Float64())
}

// transport returns the http.RoundTripper for the gate of a backend server.
func (p *Proxy) transport(to *endpoint.Record) http.RoundTripper {
	switch {
	case to.Node == p.cfg.Self:
		return p.cfg.Local
	case to.Zone == p.cfg.Zone:
		return p.cfg.Near
	}
	return p.cfg.Far
}

// refusal is a response that this node generates in place of a backend server's.
type refusal struct {
	status int
	reason outcome.Reason
	// retryAfter is the Retry-After delay; 0 sends no Retry-After header.
	retryAfter time.Duration
	// organisation is the one that the request belongs to; nil where it isn't known.
	organisation *route.Organisation
}

// organisationName returns the name of the request's organisation; empty where it isn't
// known.
func (f *refusal) organisationName() string {
	if f.organisation == nil {
		return ""
	}
	return f.organisation.Name
}

// reject counts and logs a refusal and writes it to the caller.
func (p *Proxy) reject(w http.ResponseWriter, r *http.Request, f refusal) {
	p.countRefusal(f.status, f.reason)
	_ = p.cfg.Logger.Log("event", "request_refused", "request", p.cfg.Dialect.RequestID(r.Header),
		"host", r.Host, "path", r.URL.Path, "version", p.version(), "status", f.status, "reason", f.reason,
		"organisation", f.organisationName(), "retry_after", f.retryAfter)
	h := w.Header()
	if f.retryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64)}
	}
	h["Content-Length"] = []string{"0"}
	w.WriteHeader(f.status)
}

// version returns the version of the routes in force; 0 before any have been loaded.
func (p *Proxy) version() route.Version {
	if t := p.cfg.Table(); t != nil {
		return t.Version()
	}
	return 0
}

// countRefusal counts a refusal by its status and reason.
func (p *Proxy) countRefusal(status int, reason outcome.Reason) {
	name := `jacinthgate_outbound_refusals_total{status="` + strconv.Itoa(status) + `",reason="` + string(reason) + `"}`
	c, ok := p.counters.Load(name)
	if !ok {
		c, _ = p.counters.LoadOrStore(name, p.cfg.Metrics.GetOrCreateCounter(name))
	}
	c.(*metrics.Counter).Inc()
}

// observeDuration records the duration of a request in the histogram of its class.
func (p *Proxy) observeDuration(r *route.Route, took time.Duration) {
	h, ok := p.durations.Load(r.Kind)
	if !ok {
		name := `jacinthgate_outbound_seconds{class="` + string(r.Kind) + `"}`
		h, _ = p.durations.LoadOrStore(r.Kind, p.cfg.Metrics.GetOrCreateHistogram(name))
	}
	h.(*metrics.Histogram).Update(took.Seconds())
}
