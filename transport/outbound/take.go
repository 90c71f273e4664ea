package outbound

import (
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// handleResponse evaluates the gate's response to an attempt that was sent at the given time, and
// reports whether a backend server's response in it was relayed to the caller.
func (x *exchange) handleResponse(choice balance.Choice, resp *http.Response, sent time.Time, took time.Duration) bool {
	h := resp.Header
	x.observeBudgetUsage(h)
	result := balance.Result{Latency: took, Work: x.workload(), MeanServiceTime: reportedServiceTime(h)}
	if l, err := balance.ParseLoad(h.Get(outcome.HeaderLoad)); err == nil {
		result.Load = &l
	}
	if h[outcome.HeaderReached] != nil {
		x.trail.Reached()
		x.creditCanary(choice)
	}
	if outcome.Outcome(h.Get(outcome.HeaderOutcome)) == outcome.Answered {
		x.observeStatements(choice, h, sent)
		return x.relay(choice, resp, result)
	}
	reason := outcome.Reason(h.Get(outcome.HeaderReason))
	out := outcome.Unknown
	result.Outcome = balance.Failed
	if outcome.Outcome(h.Get(outcome.HeaderOutcome)) == outcome.NotRun {
		out = outcome.NotRun
		result.Outcome = refusalOutcome(reason)
	}
	x.freeSlots = reason == outcome.ReasonBackendRefused && result.Load != nil && result.Load.Used < result.Load.Slots
	if reason != outcome.ReasonServerLimit {
		x.noteOtherRefusal()
	}
	switch reason {
	case outcome.ReasonLinkFull:
		x.linkFull(choice, h)
	case outcome.ReasonHostSlow:
		x.allowAgain(choice)
	case outcome.ReasonServerLimit:
		x.limitReached(h, &result)
	}
	forward.Drain(resp)
	choice.Done(x.p.cfg.Now(), result)
	x.trail.Note(out, reason)
	if reason == outcome.ReasonQuarantined {
		x.trail.Forbid(reason) // not yet in this node's view; another gate would refuse it as well
	}
	_ = x.p.cfg.Details.Log("event", "attempt_failed", "request", x.p.cfg.Dialect.RequestID(x.r.Header),
		"route", x.route.Name, "node", choice.Record.Node, "instance", choice.Record.Instance, "outcome", out,
		"reason", reason, "load", h.Get(outcome.HeaderLoad), "sends", x.trail.Progress.Sends, "reached", x.trail.Progress.Reached,
		"left", x.deadline.Sub(x.p.cfg.Now()))
	return false
}

// reportedServiceTime returns the mean service time of such requests that the gate reports;
// 0 where it reports none.
func reportedServiceTime(h http.Header) time.Duration {
	micros, given, err := forward.HeaderInt(h, outcome.HeaderMeanServiceTime)
	if err != nil || !given {
		return 0 // an older gate, or none: the request's own latency is used instead
	}
	return time.Duration(micros) * time.Microsecond
}

// refusalOutcome returns how the balancer counts a gate's refusal. It is balance.Cancelled,
// which doesn't count against the backend server, where the reason lies with the request or
// the host's link, and also where there are too many requests: the load in the response
// shows that already.
func refusalOutcome(reason outcome.Reason) balance.Outcome {
	switch reason {
	case outcome.ReasonDeadline, outcome.ReasonCancelled, outcome.ReasonLinkFull, outcome.ReasonHostSlow,
		outcome.ReasonQueueFull, outcome.ReasonServerLimit, outcome.ReasonQuarantined, outcome.ReasonWithdrawn, outcome.ReasonEvacuated:
		return balance.Cancelled
	}
	return balance.NotRun
}
