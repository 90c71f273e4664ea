package entry

import (
	"errors"
	"net/http"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// failed reports an attempt without a response to the balancer and returns its refusal.
func (x *exchange) failed(err error) *forward.Refusal {
	var send *forward.SendError
	x.last.sent = !errors.As(err, &send) || send.Sent
	reason, verdict := outcome.ReasonBackendFailed, balance.Failed
	if !x.last.sent {
		verdict = balance.NotRun
	}
	switch {
	case x.r.Context().Err() != nil:
		reason, verdict = outcome.ReasonCancelled, balance.Cancelled
	case x.ctx.Err() != nil:
		reason = outcome.ReasonDeadline
	}
	x.reportAttempt(verdict)
	if x.last.sent {
		return forward.Unknown(reason, "there was no answer after the request was sent")
	}
	return x.p.notRun(reason, "the request could not be sent to the gate")
}

// classify reads load and outcome from the gate's response. If the backend server
// answered, it sets x.resp and returns nil; otherwise it reports the attempt to the
// balancer and returns the refusal.
func (x *exchange) classify(resp *http.Response) *forward.Refusal {
	if l, err := balance.ParseLoad(resp.Header.Get(outcome.HeaderLoad)); err == nil {
		x.last.load = &l
	}
	out := outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome))
	if out == outcome.Answered {
		resp.Body = x.progress.Body(resp.Body)
		x.resp = resp
		return nil
	}
	reason := outcome.Reason(resp.Header.Get(outcome.HeaderReason))
	if reason == "" {
		reason = outcome.ReasonBackendFailed
	}
	forward.Drain(resp)
	if out == outcome.NotRun {
		x.reportAttempt(refusalOutcome(reason))
		refusal := forward.NotRun(reason, "the gate refused the request")
		refusal.RetryAfter = forward.RetryAfter(resp.Header, x.p.cfg.RetryAfter)
		return refusal
	}
	x.reportAttempt(balance.Failed)
	return forward.Unknown(reason, "the backend server did not answer")
}

// refusalOutcome returns the balancer's outcome for a gate's refusal. A deadline that
// can't be met and a quarantine are properties of the request, so they count neither for
// nor against the server.
func refusalOutcome(reason outcome.Reason) balance.Outcome {
	if reason == outcome.ReasonDeadline || reason == outcome.ReasonQuarantined {
		return balance.Cancelled
	}
	return balance.NotRun
}

// relay relays x.resp to the caller, ends the request's claim, if any, and reports the
// attempt to the balancer.
func (x *exchange) relay() error {
	if x.last.record == nil {
		return forward.Relay(x.w, x.resp) // a replayed response, already stripped
	}
	h := x.resp.Header
	servedBy := h[outcome.HeaderServedBy]
	forward.StripNodeHeaders(h)
	if servedBy != nil {
		h[outcome.HeaderServedBy] = servedBy
	}
	h[outcome.HeaderOutcome] = []string{string(outcome.Answered)}
	err := x.storeResponse()
	if err == nil {
		err = forward.Relay(x.w, x.resp)
	}
	x.reportAttempt(relayOutcome(x.resp.StatusCode, err))
	x.finishClaim(err)
	return err
}

// relayOutcome returns the balancer's outcome for a response with this status, whose
// relaying ended with err. Only a response truncated by the server's side counts as its
// failure, not a caller that disconnected.
func relayOutcome(status int, err error) balance.Outcome {
	var truncated *forward.TruncatedError
	switch {
	case errors.As(err, &truncated):
		return balance.Failed
	case err != nil:
		return balance.Cancelled
	}
	if forward.FailedStatus(status) {
		return balance.Failed
	}
	return balance.OK
}
