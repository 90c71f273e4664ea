package outbound

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// relay passes a backend server's answer on. It reports false when the answer
// broke off or tells of a failure and another attempt may still be made.
func (x *exchange) relay(choice balance.Choice, resp *http.Response, result balance.Result) bool {
	forward.StripNodeHeaders(resp.Header)
	if resp.ContentLength < 0 || resp.ContentLength > x.p.cfg.MaxKept {
		x.passOn(choice, resp, result)
		return true
	}
	var body []byte
	if x.r.Method != http.MethodHead {
		body = make([]byte, resp.ContentLength)
	}
	if err := forward.ReadWhole(resp.Body, body); err != nil {
		result.Outcome = x.cutAs()
		choice.Done(x.p.cfg.Now(), result)
		x.trail.Note(outcome.Unknown, outcome.ReasonBackendFailed)
		return false
	}
	failed := forward.FailedStatus(resp.StatusCode)
	if failed {
		result.Outcome = balance.Failed
	}
	choice.Done(x.p.cfg.Now(), result)
	whole := &answer{resp: resp, body: body}
	if failed && x.mayRepeat() {
		x.failure = whole
		x.trail.Note(outcome.Unknown, outcome.ReasonBackendFailed)
		return false
	}
	x.deliver(whole)
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

// passOn passes a large answer on as it comes. Where it breaks off, so does
// the caller's.
func (x *exchange) passOn(choice balance.Choice, resp *http.Response, result balance.Result) {
	body := &progress{ReadCloser: resp.Body, now: x.p.cfg.Now}
	resp.Body = body
	began := x.p.cfg.Now()
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
		"node", choice.Record.Node, "instance", choice.Record.Instance, "err", err, "length", resp.ContentLength, "received", body.received,
		"waited", body.waited(began))
	panic(http.ErrAbortHandler)
}

// progress tells how far the passing on of an answer's body has come.
type progress struct {
	io.ReadCloser
	now      func() time.Time
	received int64     // in bytes
	first    time.Time // of the first read; zero before it
}

// Read implements io.Reader.
func (p *progress) Read(b []byte) (int, error) {
	if p.first.IsZero() {
		p.first = p.now()
	}
	n, err := p.ReadCloser.Read(b)
	p.received += int64(n)
	return n, err
}

// waited returns how long after a time the body was first read: the time for which the head
// couldn't be written.
func (p *progress) waited(since time.Time) time.Duration {
	if p.first.IsZero() {
		return p.now().Sub(since)
	}
	return p.first.Sub(since)
}
