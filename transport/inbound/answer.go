package inbound

import (
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// refuse returns the response to a request that was not run. reached reports whether the
// request reached the backend server.
func (g *Gate) refuse(req *http.Request, reason outcome.Reason, reached bool) *http.Response {
	g.counter(reason).Inc()
	return g.response(req, http.StatusServiceUnavailable, outcome.NotRun, reason, reached)
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

// stamp sets the header with the load of the backend server, which every response carries,
// and the one with the host's budget usage if there is any.
func (g *Gate) stamp(h http.Header) {
	l := g.core.Load()
	load := balance.Load{Used: l.Used, Slots: max(1, l.Slots), Queued: l.Queued, MeanServiceTime: g.core.MeanServiceTime(), Slowdown: g.slowdown()}
	h[outcome.HeaderLoad] = []string{load.String()}
	if s := g.cfg.BudgetUsage(g.cfg.Now()); s > 0 {
		h[outcome.HeaderBudgetUsage] = []string{strconv.Itoa(s.Percent())}
	}
}
