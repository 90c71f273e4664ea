package inbound

import (
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// refuse returns the response to a request that was not run. reached reports whether the
// request reached the backend server.
func (g *Gate) refuse(req *http.Request, reason outcome.Reason, reached bool) *http.Response {
	g.counter(reason).Inc()
	resp := g.response(req, http.StatusServiceUnavailable, outcome.NotRun, reason, reached)
	if reason == outcome.ReasonServerLimit {
		resp.Header[outcome.HeaderLimitWait] = []string{forward.Millis(g.core.StatedWait(g.cfg.Now()))}
	}
	return resp
}

// unknown returns the response to a request that may have run.
func (g *Gate) unknown(req *http.Request, reason outcome.Reason) *http.Response {
	g.counter(reason).Inc()
	return g.response(req, http.StatusBadGateway, outcome.Unknown, reason, true)
}

// reachedValue is the value of outcome.HeaderReached.
var reachedValue = []string{"1"}

// response returns a response of the gate itself, with node headers and without a body.
func (g *Gate) response(req *http.Request, status int, o outcome.Outcome, reason outcome.Reason, reached bool) *http.Response {
	h := make(http.Header, 8)
	h[outcome.HeaderOutcome] = []string{string(o)}
	h[outcome.HeaderReason] = []string{string(reason)}
	if reached {
		h[outcome.HeaderReached] = reachedValue
	}
	g.stamp(h)
	return &http.Response{
		StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: h, Body: http.NoBody, Request: req,
	}
}

// counter returns the counter of the refusals with a reason.
func (g *Gate) counter(reason outcome.Reason) *metrics.Counter {
	if c, ok := g.refusals.Load(reason); ok {
		return c.(*metrics.Counter)
	}
	c := g.cfg.Metrics.GetOrCreateCounter(`jacinthgate_inbound_refusals_total{reason="` + string(reason) + `"}`)
	g.refusals.Store(reason, c)
	return c
}

// applyStatedLimit adjusts the reported load to the limit that the backend server states: its
// slots are in use while the limit delays a request, also when the request of this response has
// ended, and become free at the limit's rate. Entry nodes thus compare it with other backend
// servers as they do any one without a free slot.
func (g *Gate) applyStatedLimit(l *balance.Load, now time.Time) {
	if g.core.StatedWait(now) > 0 {
		l.Used = max(l.Used, l.Slots+1)
	}
	l.MeanServiceTime = max(l.MeanServiceTime, time.Duration(l.Slots)*g.core.StatedSpacing(now))
}

// stamp sets the header with the load of the backend server, which every response carries,
// and the one with the host's budget usage if there is any.
func (g *Gate) stamp(h http.Header) {
	now := g.cfg.Now()
	l := g.core.Load()
	load := balance.Load{Used: l.Used, Slots: max(1, l.Slots), Queued: l.Queued, MeanServiceTime: g.core.MeanServiceTime(), Slowdown: g.slowdown()}
	g.applyStatedLimit(&load, now)
	h[outcome.HeaderLoad] = []string{load.String()}
	if s := g.cfg.BudgetUsage(now); s > 0 {
		h[outcome.HeaderBudgetUsage] = []string{strconv.Itoa(s.Percent())}
	}
}
