package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/coordination/retry"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// exchange is one caller's request and its attempts.
type exchange struct {
	p      *Proxy
	w      http.ResponseWriter
	r      *http.Request
	plan   *plan
	ctx    context.Context
	cancel context.CancelFunc

	body []byte // the whole body when it is kept, or the beginning of a stream
	kept bool
	// fingerprint is that of what the request asks for.
	fingerprint suspect.Fingerprint
	// stream is the body when it is not kept.
	stream *forward.StreamBody
	claim  Claim // nil without one

	number    int // of the attempt, from 1
	inherited bool
	tried     balance.Exclusions
	last      attempt
	resp      *http.Response
}

// attempt is one attempt's record.
type attempt struct {
	choice  balance.Choice
	record  *endpoint.Record // nil when none was picked
	sent    bool
	sentAt  time.Time
	latency time.Duration // without the opening of a connection
	load    *balance.Load
}

func newExchange(p *Proxy, w http.ResponseWriter, r *http.Request, pl *plan) *exchange {
	x := &exchange{p: p, w: w, r: r, plan: pl, inherited: r.Header[outcome.HeaderAttempt] != nil}
	ctx := r.Context()
	if x.claimable() {
		// A caller that goes away asks again with the same key: it is better
		// served by the answer, kept for it, than by a key that is lost.
		ctx = context.WithoutCancel(ctx)
	}
	x.ctx, x.cancel = context.WithDeadline(ctx, pl.deadline)
	return x
}

// run makes attempts until one is answered or none may follow. After nil,
// relay must be called.
func (x *exchange) run() *forward.Refusal {
	if refusal := x.keepBody(); refusal != nil {
		return refusal
	}
	x.fingerprint = forward.Fingerprint(x.r, x.body)
	if refusal := x.beginClaim(); refusal != nil || x.resp != nil {
		return refusal
	}
	refusal := x.attempts()
	if refusal != nil {
		x.endClaim(refusal.Outcome)
	}
	return refusal
}

// attempts returns the refusal that tells the caller most when none succeeds:
// an attempt that may have run before any other, and otherwise the last gate's
// own reason.
func (x *exchange) attempts() *forward.Refusal {
	x.p.cfg.Retry.First(x.plan.match, x.inherited)
	var told *forward.Refusal
	for {
		x.number++
		refusal := x.attempt()
		if refusal == nil {
			return nil
		}
		if told == nil || refusal.Outcome == outcome.Unknown || (told.Outcome == outcome.NotRun && x.last.record != nil) {
			told = refusal
		}
		if !x.again(refusal) {
			return told
		}
	}
}

// attempt sends the request once. Nil means that x.resp is an answer.
func (x *exchange) attempt() *forward.Refusal {
	now := x.p.cfg.Now()
	x.last = attempt{sentAt: now}
	remaining := x.plan.deadline.Sub(now).Milliseconds()
	if remaining <= 0 {
		return x.p.notRun(outcome.ReasonDeadline, "the deadline passed before the request was sent")
	}
	if x.p.cfg.Suspects != nil && x.p.cfg.Suspects().Quarantined(x.fingerprint) {
		refusal := forward.NotRun(outcome.ReasonQuarantined, "backend servers have crashed under such requests")
		refusal.RetryAfter = quarantine.RetryAfter
		return refusal
	}
	choice, err := x.pick(now)
	if err != nil {
		return x.p.notRun(outcome.ReasonNoEndpoint, "no backend server may take the request")
	}
	x.last.choice, x.last.record = choice, choice.Record
	x.tried.Add(choice.Record.Node)
	if x.claim != nil && !x.claim.Dispatch() {
		x.done(balance.Cancelled)
		return x.p.notRun(outcome.ReasonDeadline, "the claim on the key is over")
	}
	resp, opening, err := forward.SendTimed(x.p.cfg.Gate, x.request(remaining), x.w)
	x.last.latency = max(0, x.p.cfg.Now().Sub(now)-opening)
	if err != nil {
		return x.failed(err)
	}
	x.last.sent = true
	return x.classify(resp)
}

func (x *exchange) pick(now time.Time) (balance.Choice, error) {
	service := x.plan.match.Service
	var records []endpoint.Record
	if view := x.p.cfg.View(); view != nil {
		records = view.Service(service.Name)
	}
	return x.p.cfg.Balance.Pick(now, service, records, &x.tried)
}

// request builds the request to the chosen gate.
func (x *exchange) request(remaining int64) *http.Request {
	var body io.ReadCloser
	if !x.kept {
		body = x.stream
	} else if len(x.body) > 0 {
		body = forward.NewBufferedBody(x.body)
	}
	out := forward.NewRequest(x.ctx, x.r, x.p.cfg.GateScheme, x.last.record.GateAddr, body, x.r.ContentLength)
	m := &x.plan.match
	h := out.Header
	forward.StripNodeHeaders(h)
	// One array holds the values of all headers.
	v := [...]string{
		strconv.FormatInt(remaining, 10),
		strconv.Itoa(x.plan.hops),
		m.Contract.Organisation,
		m.Class.Name,
		string(m.Class.Kind),
		m.Service.Name,
		x.fingerprint.String(),
	}
	h[outcome.HeaderDeadline] = v[0:1:1]
	h[outcome.HeaderHops] = v[1:2:2]
	h[outcome.HeaderOrganisation] = v[2:3:3]
	h[outcome.HeaderClass] = v[3:4:4]
	h[outcome.HeaderKind] = v[4:5:5]
	h[outcome.HeaderService] = v[5:6:6]
	if x.r.ContentLength != 0 { // the gate reads the rest from the head
		h[outcome.HeaderFingerprint] = v[6:7:7]
	}
	if x.number > 1 && !x.inherited {
		h[outcome.HeaderAttempt] = []string{strconv.Itoa(x.number)}
	}
	return out
}

// again asks for leave to make another attempt and waits for its turn.
func (x *exchange) again(refusal *forward.Refusal) bool {
	if x.last.record == nil || x.ctx.Err() != nil {
		return false
	}
	replayable := x.kept || x.reclaim()
	now := x.p.cfg.Now()
	d := x.p.cfg.Retry.Decide(now, x.plan.match, retry.Attempt{
		Number:     x.number,
		Inherited:  x.inherited,
		Replayable: replayable,
		Left:       x.plan.deadline.Sub(now),
		Outcome:    refusal.Outcome,
		Reason:     refusal.Reason,
		Unsent:     !x.last.sent && replayable,
		Zone:       x.last.record.Zone,
	})
	if d.Stop != retry.StopNone {
		return false
	}
	if d.AvoidZone != "" {
		x.tried.AvoidZone(model.Zone(d.AvoidZone))
	}
	return d.After <= 0 || sleep(x.ctx, d.After)
}

// reclaim takes a streamed body back and reports whether all of it is left.
func (x *exchange) reclaim() bool {
	if left := x.stream.Reclaim(); left != nil {
		x.stream = left
		return true
	}
	return false
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
func (x *exchange) done(o balance.Outcome) {
	x.last.choice.Done(x.p.cfg.Now(), balance.Result{
		Latency: x.last.latency,
		Outcome: o,
		Load:    x.last.load,
		Work:    model.WorkOf(x.plan.match.Class.Kind),
	})
}
