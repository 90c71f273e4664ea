package outbound

import (
	"errors"
	"net/http"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// relay passes a backend server's answer on. It reports false when the answer
// broke off or tells of a failure and another attempt may still be made.
func (x *exchange) relay(choice balance.Choice, resp *http.Response, result balance.Result) bool {
	forward.StripNodeHeaders(resp.Header)
	held := x.hold(resp)
	defer x.p.held.Add(-held)
	body, whole, err := x.keep(resp, max(x.p.cfg.MaxKept, held))
	if err != nil {
		result.Outcome = x.cutAs()
		choice.Done(x.p.cfg.Now(), result)
		x.trail.Note(outcome.Unknown, outcome.ReasonBackendFailed)
		return false
	}
	if !whole {
		x.passOn(choice, resp, result)
		return true
	}
	failed := forward.FailedStatus(resp.StatusCode)
	if failed {
		result.Outcome = balance.Failed
	}
	choice.Done(x.p.cfg.Now(), result)
	kept := &answer{resp: resp, body: body}
	if failed && x.mayRepeat() {
		x.failure = kept
		x.trail.Note(outcome.Unknown, outcome.ReasonBackendFailed)
		return false
	}
	x.deliver(kept)
	return true
}

// mayRepeat reports whether a failed answer may be replaced by another one.
func (x *exchange) mayRepeat() bool {
	g := x.trail.Progress
	g.Last = outcome.Unknown
	g.Left = x.deadline.Sub(x.p.cfg.Now())
	return x.body.kept() && x.p.cfg.Policy.Next(g) != attempt.Stop
}

// cutAs says what a broken answer tells about its backend server: nothing, when
// it was this side that ended it.
func (x *exchange) cutAs() balance.Outcome {
	if x.ctx.Err() != nil {
		return balance.Cancelled
	}
	return balance.Failed
}

// deliver writes a whole answer to the caller.
func (x *exchange) deliver(a *answer) {
	h := x.w.Header()
	forward.RemoveHopByHop(a.resp.Header)
	forward.CopyHeader(h, a.resp.Header)
	x.w.WriteHeader(a.resp.StatusCode)
	if len(a.body) == 0 {
		return
	}
	if _, err := x.w.Write(a.body); err != nil {
		_ = x.p.cfg.Logger.Log("event", "caller_gone", "request", x.p.cfg.Dialect.RequestID(x.r.Header), "err", err)
	}
}

// passOn passes an answer that isn't kept on as it comes. Where it breaks off after its first
// byte was sent, so does the caller's.
func (x *exchange) passOn(choice balance.Choice, resp *http.Response, result balance.Result) {
	body := &forward.CountedBody{ReadCloser: resp.Body}
	resp.Body = body
	if w, ok := x.w.(interface{ WaitUntil(done <-chan struct{}) }); ok {
		w.WaitUntil(x.ctx.Done()) // nothing can be read after it
	}
	err := forward.Relay(x.w, resp)
	var cut *forward.TruncatedError
	if errors.As(err, &cut) {
		result.Outcome = x.cutAs()
	}
	choice.Done(x.p.cfg.Now(), result)
	if err == nil {
		return
	}
	_ = x.p.cfg.Logger.Log("event", "answer_cut", "request", x.p.cfg.Dialect.RequestID(x.r.Header),
		"node", choice.Record.Node, "instance", choice.Record.Instance, "err", err, "length", resp.ContentLength, "received", body.Received)
	panic(http.ErrAbortHandler)
}
