package entry

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
	"github.com/jacinthgate/jacinthgate/transport/keepalive"
)

// Proxy is the entry proxy. It is safe for concurrent use.
type Proxy struct {
	cfg     Config
	metrics *requestMetrics
	older   *olderServer
	server  *keepalive.Server
	leaving atomic.Bool
}

// New returns a proxy. Snapshot, View and Ready must be set.
func New(cfg Config) *Proxy {
	cfg = cfg.withDefaults()
	p := &Proxy{cfg: cfg, metrics: newRequestMetrics(cfg.Metrics, cfg.MaxMetricOrganisations)}
	p.older = newOlderServer(p)
	p.server = keepalive.New(newServer(p), keepalive.Config{
		Name:        "caller",
		Wrap:        func(l net.Listener) net.Listener { return recordingListener{l} },
		CloseNotice: forward.ConnectionClosing(),
		Logger:      p.cfg.Logger,
	})
	return p
}

// ServeHTTP implements http.Handler. When a response can't be relayed whole, it panics
// with http.ErrAbortHandler, which aborts the caller's connection. Requests for the
// older system are forwarded byte for byte only on connections accepted by Serve; on
// others they are rebuilt from the parsed request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := p.cfg.Now()
	pl, refusal := p.decide(r, start)
	if refusal == nil && pl.older {
		p.older.serve(w, r)
		return
	}
	var stream *forward.StreamBody
	if refusal == nil {
		refusal, stream = p.admit(w, r, &pl, start)
	}
	if refusal != nil {
		p.metrics.record(&pl.match, refusal.Outcome, refusal.Reason, p.cfg.Now().Sub(start))
		p.closeIfLeaving(w)
		refusal.Write(w)
	}
	stream.Finish()
}

// admit admits the request under the organisation's limits and serves it. It returns
// a refusal that the caller of admit must write, or nil when the response was relayed,
// and the request's body if it is streamed.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request, pl *plan, start time.Time) (*forward.Refusal, *forward.StreamBody) {
	permit, refused := p.cfg.Admit.Admit(start, pl.match)
	if refused != nil {
		refusal := forward.NotRun(refused.Reason, "the contract's limits don't allow the request now")
		refusal.RetryAfter = refused.RetryAfter
		return refusal, nil
	}
	defer func() { permit.Release(p.cfg.Now()) }()
	x := newExchange(p, w, r, pl)
	defer x.cancel()
	if refusal := x.run(); refusal != nil {
		return refusal, x.stream
	}
	p.closeIfLeaving(w)
	err := x.relay()
	p.metrics.record(&pl.match, outcome.Answered, "", p.cfg.Now().Sub(start))
	x.abortIfIncomplete(err)
	return nil, x.stream
}

// abortIfIncomplete aborts the caller's connection when err, from relay, shows that
// the response was not relayed whole.
func (x *exchange) abortIfIncomplete(err error) {
	if err == nil {
		return
	}
	var truncated *forward.TruncatedError
	if errors.As(err, &truncated) {
		x.p.metrics.truncated.Inc()
		_ = level.Warn(x.p.cfg.Logger).Log("event", "response_truncated",
			"organisation", x.plan.match.Contract.Organisation, "route", x.plan.match.Route.Name, "err", err)
	}
	x.stream.Detach(x.w)
	panic(http.ErrAbortHandler)
}
