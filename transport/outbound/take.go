package outbound

import (
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// take reads the gate's response and reports whether it answers the request.
func (x *exchange) take(choice balance.Choice, resp *http.Response, took time.Duration) bool {
	h := resp.Header
	x.noteStrain(h)
	result := balance.Result{Latency: took, Work: x.work(), MeanServiceTime: typical(h)}
	if l, err := balance.ParseLoad(h.Get(outcome.HeaderLoad)); err == nil {
		result.Load = &l
	}
	if h[outcome.HeaderReached] != nil {
		x.trail.Reached()
		x.earnCanary(choice)
	}
	if outcome.Outcome(h.Get(outcome.HeaderOutcome)) == outcome.Answered {
		return x.relay(choice, resp, result)
	}
	reason := outcome.Reason(h.Get(outcome.HeaderReason))
	out := outcome.Unknown
	result.Outcome = balance.Failed
	if outcome.Outcome(h.Get(outcome.HeaderOutcome)) == outcome.NotRun {
		out = outcome.NotRun
		result.Outcome = refusedAs(reason)
	}
	x.room = reason == outcome.ReasonBackendRefused && result.Load != nil && result.Load.Used < result.Load.Slots
	switch reason {
	case outcome.ReasonLinkFull:
		x.linkFull(choice, h)
	case outcome.ReasonHostSlow:
		x.sendOn(choice)
	}
	forward.Drain(resp)
	choice.Done(x.p.cfg.Now(), result)
	x.trail.Note(out, reason)
	if reason == outcome.ReasonQuarantined {
		x.trail.Forbid(reason) // this node doesn't know it yet; another gate would say the same
	}
	_ = x.p.cfg.Details.Log("event", "attempt_failed", "request", x.p.cfg.Dialect.RequestID(x.r.Header),
		"route", x.route.Name, "node", choice.Record.Node, "instance", choice.Record.Instance, "outcome", out,
		"reason", reason, "load", h.Get(outcome.HeaderLoad), "sends", x.trail.Progress.Sends, "reached", x.trail.Progress.Reached,
		"left", x.deadline.Sub(x.p.cfg.Now()))
	return false
}

// typical returns what the gate says that such requests take; 0 where it doesn't.
func typical(h http.Header) time.Duration {
	micros, given, err := forward.HeaderInt(h, outcome.HeaderTypical)
	if err != nil || !given {
		return 0 // an older gate, or none: the request's own latency stands in
	}
	return time.Duration(micros) * time.Microsecond
}

// refusedAs says what a gate's refusal tells about its backend server: nothing,
// where the reason lies with the request or with the host's link, and nothing
// beyond the load that comes with it, where there are too many requests.
func refusedAs(reason outcome.Reason) balance.Outcome {
	switch reason {
	case outcome.ReasonDeadline, outcome.ReasonCancelled, outcome.ReasonLinkFull, outcome.ReasonHostSlow,
		outcome.ReasonQueueFull, outcome.ReasonQuarantined, outcome.ReasonWithdrawn, outcome.ReasonEvacuated:
		return balance.Cancelled
	}
	return balance.NotRun
}
