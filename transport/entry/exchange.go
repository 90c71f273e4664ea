package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// exchange is one caller's request and its attempts.
type exchange struct {
	p    *Proxy
	w    http.ResponseWriter
	r    *http.Request
	plan *plan
	ctx  context.Context

	body     []byte // the whole body, when it is kept
	kept     bool
	streamed bool // part of the body may have been read
	tried    []model.NodeID
	resp     *http.Response
	last     Feedback
	sentAt   time.Time
	status   int
}

// run makes attempts until one is answered or none may follow. After nil,
// relay must be called.
func (x *exchange) run() *forward.Refusal {
	if refusal := x.keepBody(); refusal != nil {
		return refusal
	}
	x.p.cfg.Retry.First(&x.plan.match, x.p.cfg.Now())
	for n := 1; ; n++ {
		refusal := x.attempt()
		if refusal == nil {
			return nil
		}
		if !x.mayRetry(refusal, n) {
			return refusal
		}
	}
}

// keepBody reads a small body of known length before anything is sent, so
// that it can be sent again and a slow caller holds no slot of a gate.
func (x *exchange) keepBody() *forward.Refusal {
	r := x.r
	switch {
	case r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0:
		x.kept = true
		return nil
	case r.ContentLength < 0 || r.ContentLength > x.p.cfg.MaxReplayBody:
		return nil
	case r.Header["Expect"] != nil:
		return nil // the backend server decides whether it wants the body
	}
	x.body = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, x.body); err != nil {
		return x.p.notRun(outcome.ReasonCancelled, "the body did not arrive whole")
	}
	x.kept = true
	return nil
}

// attempt sends the request once. Nil means that x.resp is an answer.
func (x *exchange) attempt() *forward.Refusal {
	now := x.p.cfg.Now()
	remaining := x.plan.deadline.Sub(now).Milliseconds()
	if remaining <= 0 {
		return x.p.notRun(outcome.ReasonDeadline, "the deadline passed before the request was sent")
	}
	rec := x.pick(now)
	if rec == nil {
		return x.p.notRun(outcome.ReasonNoEndpoint, "no backend server may take the request")
	}
	x.tried = append(x.tried, rec.Node)
	x.sentAt = now
	x.last = Feedback{Service: x.plan.match.Service.Name, Node: rec.Node}
	resp, err := forward.Send(x.p.cfg.Gate, x.request(rec, remaining), x.w)
	if err != nil {
		return x.failed(err)
	}
	return x.classify(resp)
}

func (x *exchange) pick(now time.Time) *endpoint.Record {
	view := x.p.cfg.View()
	if view == nil {
		return nil
	}
	service := x.plan.match.Service
	return x.p.cfg.Balance.Pick(service, view.Service(service.Name), x.tried, now)
}

// request builds the request to a gate.
func (x *exchange) request(rec *endpoint.Record, remaining int64) *http.Request {
	var body io.ReadCloser
	length := x.r.ContentLength
	switch {
	case !x.kept:
		body = x.r.Body
		x.streamed = true
	case len(x.body) > 0:
		body = io.NopCloser(bytes.NewReader(x.body))
	}
	out := forward.NewRequest(x.ctx, x.r, x.p.cfg.GateScheme, rec.GateAddr, body, length)
	m := &x.plan.match
	h := out.Header
	forward.StripNodeHeaders(h)
	h[outcome.HeaderDeadline] = []string{strconv.FormatInt(remaining, 10)}
	h[outcome.HeaderHops] = []string{strconv.Itoa(x.plan.hops)}
	h[outcome.HeaderCustomer] = []string{m.Contract.Customer}
	h[outcome.HeaderClass] = []string{m.Class.Name}
	h[outcome.HeaderKind] = []string{string(m.Class.Kind)}
	h[outcome.HeaderService] = []string{m.Service.Name}
	return out
}

// failed classifies an attempt that got no response.
func (x *exchange) failed(err error) *forward.Refusal {
	var send *forward.SendError
	sent := !errors.As(err, &send) || send.Sent
	reason, detail := outcome.ReasonBackendFailed, "the gate can't be reached"
	switch {
	case x.r.Context().Err() != nil:
		reason, detail = outcome.ReasonCancelled, "the caller went away"
	case x.ctx.Err() != nil:
		reason, detail = outcome.ReasonDeadline, "the deadline passed"
	}
	refusal := x.p.notRun(reason, detail)
	if sent {
		refusal = forward.Unknown(reason, "the connection to the gate broke after the request was sent")
	}
	x.done(refusal.Outcome, reason)
	return refusal
}

// classify reads the gate's verdict. Nil means answered.
func (x *exchange) classify(resp *http.Response) *forward.Refusal {
	x.last.Status = resp.StatusCode
	x.last.Load, _ = ParseLoad(resp.Header.Get(outcome.HeaderLoad))
	out := outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome))
	if out == outcome.Answered {
		x.resp, x.status = resp, resp.StatusCode
		return nil
	}
	reason := outcome.Reason(resp.Header.Get(outcome.HeaderReason))
	forward.Drain(resp)
	refusal := forward.Unknown(reason, "the backend server did not answer")
	if out == outcome.NotRun {
		refusal = forward.NotRun(reason, "the gate refused the request")
		refusal.RetryAfter = forward.RetryAfter(resp.Header, x.p.cfg.RetryAfter)
	}
	if refusal.Reason == "" {
		refusal.Reason = outcome.ReasonBackendFailed
	}
	x.done(refusal.Outcome, refusal.Reason)
	return refusal
}

// mayRetry reports whether another attempt may follow attempt n, and waits
// for its turn.
func (x *exchange) mayRetry(refusal *forward.Refusal, n int) bool {
	if n >= x.p.cfg.MaxAttempts || x.ctx.Err() != nil || x.streamed || len(x.tried) < n {
		return false
	}
	if !retryable(refusal, x.plan.match.Class) {
		return false
	}
	wait, ok := x.p.cfg.Retry.Retry(&x.plan.match, n, x.p.cfg.Now(), x.plan.deadline)
	if !ok {
		return false
	}
	return wait <= 0 || sleep(x.ctx, wait)
}

// retryable reports whether another attempt could help and do no harm.
func retryable(refusal *forward.Refusal, class *model.Class) bool {
	if refusal.Reason == outcome.ReasonDeadline || refusal.Reason == outcome.ReasonCancelled {
		return false
	}
	return refusal.Outcome == outcome.NotRun || class.Repeatable
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// done reports the attempt's end to the balancer.
func (x *exchange) done(out outcome.Outcome, reason outcome.Reason) {
	now := x.p.cfg.Now()
	x.last.Outcome, x.last.Reason = out, reason
	x.last.Elapsed = now.Sub(x.sentAt)
	x.p.cfg.Balance.Done(x.last, now)
}

// relay passes the answer on.
func (x *exchange) relay() error {
	h := x.resp.Header
	servedBy := h[outcome.HeaderServedBy]
	forward.StripNodeHeaders(h)
	if servedBy != nil {
		h[outcome.HeaderServedBy] = servedBy
	}
	h[outcome.HeaderOutcome] = []string{string(outcome.Answered)}
	err := forward.Relay(x.w, x.resp)
	var cut *forward.TruncatedError
	if errors.As(err, &cut) {
		x.done(outcome.Unknown, outcome.ReasonBackendFailed)
		return err
	}
	x.done(outcome.Answered, "")
	return err
}
