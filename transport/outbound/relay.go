package outbound

import (
	"context"
	"errors"
	"net/http"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// relay sends a backend server's response to the caller. It reports false where it sent
// nothing: the response was truncated while it was buffered, or it is an error response and
// another attempt may still be made.
func (x *exchange) relay(choice balance.Choice, resp *http.Response, result balance.Result) bool {
	forward.StripNodeHeaders(resp.Header)
	resp.Body = x.progress.Body(resp.Body)
	defer x.releaseBuffer()
	body, whole, err := x.readWhole(resp)
	if err != nil {
		result.Outcome = x.truncationOutcome()
		choice.Done(x.p.cfg.Now(), result)
		x.trail.Note(outcome.Unknown, outcome.ReasonBackendFailed)
		return false
	}
	if !whole {
		x.streamResponse(choice, resp, result)
		return true
	}
	failed := forward.FailedStatus(resp.StatusCode)
	if failed {
		result.Outcome = balance.Failed
	}
	choice.Done(x.p.cfg.Now(), result)
	buffered := &bufferedResponse{resp: resp, body: body}
	if failed && x.mayRepeat() {
		x.failure = buffered
		x.trail.Note(outcome.Unknown, outcome.ReasonBackendFailed)
		return false
	}
	x.deliver(buffered)
	return true
}

// mayRepeat reports whether another attempt may be made after an error response.
func (x *exchange) mayRepeat() bool {
	g := x.trail.Progress
	g.Last = outcome.Unknown
	g.Left = x.deadline.Sub(x.p.cfg.Now())
	return x.body.buffered() && x.p.cfg.Policy.Next(g) != attempt.Stop
}

// truncationOutcome returns how the balancer counts a truncated response: as a failure of the
// backend server, unless this node ended the request.
func (x *exchange) truncationOutcome() balance.Outcome {
	if x.ctx.Err() != nil {
		return balance.Cancelled
	}
	return balance.Failed
}

// deliver writes a buffered response to the caller.
func (x *exchange) deliver(b *bufferedResponse) {
	h := x.w.Header()
	forward.RemoveHopByHop(b.resp.Header)
	forward.CopyHeader(h, b.resp.Header)
	x.w.WriteHeader(b.resp.StatusCode)
	if len(b.body) == 0 {
		return
	}
	if _, err := x.w.Write(b.body); err != nil {
		_ = x.p.cfg.Logger.Log("event", "caller_gone", "request", x.p.cfg.Dialect.RequestID(x.r.Header), "err", err)
	}
}

// turnEnd returns a channel that is closed at the deadline.
func (x *exchange) turnEnd() <-chan struct{} {
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	context.AfterFunc(x.ctx, cancel) // the context of the request always ends
	return ctx.Done()
}

// streamResponse copies a response to the caller as it arrives. Where it is truncated after
// its first byte was sent, the caller's response is aborted as well.
func (x *exchange) streamResponse(choice balance.Choice, resp *http.Response, result balance.Result) {
	body := &forward.CountedBody{ReadCloser: resp.Body}
	resp.Body = body
	if w, ok := x.w.(interface{ WaitUntil(done <-chan struct{}) }); ok {
		w.WaitUntil(x.turnEnd()) // an unread response can't be read any further past its deadline
	}
	err := forward.Relay(x.w, resp)
	var cut *forward.TruncatedError
	if errors.As(err, &cut) {
		result.Outcome = x.truncationOutcome()
	}
	choice.Done(x.p.cfg.Now(), result)
	if err == nil {
		return
	}
	_ = x.p.cfg.Logger.Log("event", "answer_cut", "request", x.p.cfg.Dialect.RequestID(x.r.Header),
		"node", choice.Record.Node, "instance", choice.Record.Instance, "err", err, "length", resp.ContentLength, "received", body.Received)
	panic(http.ErrAbortHandler)
}
