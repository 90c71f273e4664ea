package entry

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// Proxy is the entry proxy. It is safe for concurrent use.
type Proxy struct {
	cfg     Config
	metrics *requestMetrics
	older   *olderServer
	server  *http.Server
	leaving atomic.Bool
}

// New returns a proxy. Snapshot, View and Ready must be set.
func New(cfg Config) *Proxy {
	cfg = cfg.withDefaults()
	p := &Proxy{cfg: cfg, metrics: newRequestMetrics(cfg.Metrics, cfg.MaxMetricOrganisations)}
	p.older = newOlderServer(p)
	p.server = newServer(p)
	return p
}

// ServeHTTP implements http.Handler. A response that breaks off makes it panic
// with http.ErrAbortHandler, which aborts the caller's connection. Requests
// for the older system are passed on untouched only on connections accepted by
// Serve.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := p.cfg.Now()
	pl, refusal := p.decide(r, start)
	if refusal == nil && pl.older {
		p.older.serve(w, r)
		return
	}
	if refusal == nil {
		refusal = p.admit(w, r, &pl, start)
	}
	if refusal != nil {
		p.metrics.record(&pl.match, refusal.Outcome, refusal.Reason, p.cfg.Now().Sub(start))
		p.lastOnConnection(w)
		refusal.Write(w)
	}
}

// admit serves the request under the organisation's limits. It returns a refusal
// that still has to be written, or nil when the answer was passed on.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request, pl *plan, start time.Time) *forward.Refusal {
	permit, refused := p.cfg.Admit.Admit(start, pl.match)
	if refused != nil {
		refusal := forward.NotRun(refused.Reason, "the contract's limits don't allow the request now")
		refusal.RetryAfter = refused.RetryAfter
		return refusal
	}
	defer func() { permit.Release(p.cfg.Now()) }()
	x := newExchange(p, w, r, pl)
	defer x.cancel()
	if refusal := x.run(); refusal != nil {
		return refusal
	}
	p.lastOnConnection(w)
	err := x.relay()
	p.metrics.record(&pl.match, outcome.Answered, "", p.cfg.Now().Sub(start))
	x.abortIfCut(err)
	return nil
}

// abortIfCut aborts the caller's connection when its answer is not whole.
func (x *exchange) abortIfCut(err error) {
	if err == nil {
		return
	}
	var cut *forward.TruncatedError
	if errors.As(err, &cut) {
		x.p.metrics.truncated.Inc()
		_ = level.Warn(x.p.cfg.Logger).Log("event", "response_truncated",
			"organisation", x.plan.match.Contract.Organisation, "route", x.plan.match.Route.Name, "err", err)
	}
	x.stream.Detach(x.w)
	panic(http.ErrAbortHandler)
}
