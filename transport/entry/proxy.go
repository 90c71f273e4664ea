package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// Proxy is the entry proxy. It is safe for concurrent use.
type Proxy struct {
	cfg     Config
	metrics *requestMetrics
	raw     *rawServer
}

// New returns a proxy. Snapshot, View and Ready must be set.
func New(cfg Config) *Proxy {
	cfg = cfg.withDefaults()
	p := &Proxy{cfg: cfg, metrics: newRequestMetrics(cfg.Metrics, cfg.MaxMetricCustomers)}
	p.raw = newRawServer(p)
	return p
}

// ServeHTTP implements http.Handler. A response that breaks off makes it panic
// with http.ErrAbortHandler, which aborts the caller's connection.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := p.cfg.Now()
	pl, refusal := p.decide(r, start)
	if refusal == nil && pl.older {
		p.serveOlder(w, r)
		return
	}
	if refusal == nil {
		refusal = p.cfg.Admit.Admit(&pl.match, start, pl.deadline)
		if refusal == nil {
			defer func() { p.cfg.Admit.Release(&pl.match, p.cfg.Now()) }()
			refusal = p.serve(w, r, &pl, start)
		}
	}
	if refusal != nil {
		p.metrics.record(&pl.match, refusal.Outcome, refusal.Reason, p.cfg.Now().Sub(start))
		refusal.Write(w)
	}
}

// serve sends an admitted request under its deadline. It returns a refusal
// that still has to be written, or nil when the answer was passed on.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, pl *plan, start time.Time) *forward.Refusal {
	ctx, cancel := context.WithDeadline(r.Context(), pl.deadline)
	defer cancel()
	token, refusal := p.claim(ctx, r, pl)
	if refusal != nil {
		return refusal
	}
	x := &exchange{p: p, w: w, r: r, plan: pl, ctx: ctx}
	refusal = x.run()
	out := outcome.Answered
	if refusal != nil {
		out = refusal.Outcome
	}
	if pl.match.Class.Kind == model.KindNonRepeatable {
		// Settling outlives the caller: the claim must not stay open.
		p.cfg.Claim.Settle(context.WithoutCancel(ctx), token, out, x.status)
	}
	if refusal != nil {
		return refusal
	}
	err := x.relay()
	p.metrics.record(&pl.match, outcome.Answered, "", p.cfg.Now().Sub(start))
	p.abortIfCut(err, pl)
	return nil
}

func (p *Proxy) claim(ctx context.Context, r *http.Request, pl *plan) (ClaimToken, *forward.Refusal) {
	if pl.match.Class.Kind != model.KindNonRepeatable {
		return nil, nil
	}
	return p.cfg.Claim.Claim(ctx, &pl.match, r)
}

// abortIfCut aborts the caller's connection when its answer is not whole.
func (p *Proxy) abortIfCut(err error, pl *plan) {
	if err == nil {
		return
	}
	var cut *forward.TruncatedError
	if errors.As(err, &cut) {
		p.metrics.truncated.Inc()
		_ = level.Warn(p.cfg.Logger).Log("event", "response_truncated",
			"customer", pl.match.Contract.Customer, "route", pl.match.Route.Name, "err", err)
	}
	panic(http.ErrAbortHandler)
}
