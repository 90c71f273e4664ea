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

// exchange handles one caller's request for the mesh: its body, its claim, and its
// attempts at backend servers.
type exchange struct {
	p      *Proxy
	w      http.ResponseWriter
	r      *http.Request
	plan   *plan
	ctx    context.Context
	cancel context.CancelFunc
	// progress is ctx.
	progress *forward.Progress

	// body is the whole body if buffered is set, otherwise the beginning of stream, if
	// that was read.
	body     []byte
	buffered bool
	// fingerprint is the key by which the quarantine recognises equal requests.
	fingerprint suspect.Fingerprint
	// stream is the body if it is not buffered.
	stream *forward.StreamBody
	claim  Claim // nil if the request is not claimed

	attemptNumber int // from 1
	// inherited is set if the request arrived as a retry, or as a nested call of one.
	inherited bool
	excluded  balance.Exclusions
	last      attempt
	// resp is the response to relay: the backend server's, or a replayed one.
	resp *http.Response
}

// attempt is the state of one attempt to send the request to a gate.
type attempt struct {
	choice  balance.Choice
	record  *endpoint.Record // nil if no backend server was picked
	sent    bool             // the request may have reached the gate
	sentAt  time.Time
	latency time.Duration // excludes the time to open a connection
	load    *balance.Load // reported by the gate; nil without a report
}

func newExchange(p *Proxy, w http.ResponseWriter, r *http.Request, pl *plan) *exchange {
	x := &exchange{p: p, w: w, r: r, plan: pl, inherited: r.Header[outcome.HeaderAttempt] != nil}
	ctx := r.Context()
	if x.claimable() {
		// A caller that disconnects retries with the same key. Finishing the request
		// lets that retry get the stored response; cancelling it would leave the key
		// claimed with an unknown outcome.
		ctx = context.WithoutCancel(ctx)
	}
	x.progress = forward.NewProgress(ctx, pl.deadline, p.cfg.ResponseExtension)
	x.ctx, x.cancel = x.progress, x.progress.End
	return x
}

// run makes attempts until one is answered or no further attempt is allowed. If it
// returns nil, relay must be called.
func (x *exchange) run() *forward.Refusal {
	if refusal := x.bufferBody(); refusal != nil {
		return refusal
	}
	x.fingerprint = forward.Fingerprint(x.r, x.body)
	if refusal := x.beginClaim(); refusal != nil || x.resp != nil {
		return refusal
	}
	refusal := x.runAttempts()
	if refusal != nil {
		x.endUnansweredClaim(refusal.Outcome)
	}
	return refusal
}

// runAttempts returns nil when an attempt was answered. Otherwise it returns the most
// informative refusal: that of an attempt that may have run, if there is one, else that
// of the last attempt for which a backend server was picked.
func (x *exchange) runAttempts() *forward.Refusal {
	x.p.cfg.Retry.First(x.plan.match, x.inherited)
	var result *forward.Refusal
	for {
		x.attemptNumber++
		refusal := x.runAttempt()
		if refusal == nil {
			return nil
		}
		if result == nil || refusal.Outcome == outcome.Unknown || (result.Outcome == outcome.NotRun && x.last.record != nil) {
			result = refusal
		}
		if !x.awaitRetry(refusal) {
			return result
		}
	}
}

// runAttempt sends the request once. If it returns nil, x.resp holds the response.
func (x *exchange) runAttempt() *forward.Refusal {
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
	x.excluded.Add(choice.Record.Node)
	if x.claim != nil && !x.claim.Dispatch() {
		x.reportAttempt(balance.Cancelled)
		return x.p.notRun(outcome.ReasonDeadline, "the claim on the key is over")
	}
	resp, opening, err := forward.SendTimed(x.p.cfg.Gate, x.request(remaining), forward.InterimWriter(x.w, x.r))
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
	return x.p.cfg.Balance.Pick(now, service, records, &x.excluded)
}

// request builds the request to the chosen gate. remaining is the time to the deadline
// in milliseconds.
func (x *exchange) request(remaining int64) *http.Request {
	var body io.ReadCloser
	if !x.buffered {
		body = x.stream
	} else if len(x.body) > 0 {
		body = forward.NewBufferedBody(x.body)
	}
	out := forward.NewRequest(x.ctx, x.r, x.p.cfg.GateScheme, x.last.record.GateAddr, body, x.r.ContentLength)
	m := &x.plan.match
	h := out.Header
	forward.StripNodeHeaders(h)
	// One array for the values of all headers saves an allocation for each.
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
	if x.r.ContentLength != 0 { // without a body, the gate computes the fingerprint from the head
		h[outcome.HeaderFingerprint] = v[6:7:7]
	}
	if x.attemptNumber > 1 && !x.inherited {
		h[outcome.HeaderAttempt] = []string{strconv.Itoa(x.attemptNumber)}
	}
	return out
}

// awaitRetry reports whether another attempt is allowed, after the backoff before it
// has elapsed.
func (x *exchange) awaitRetry(refusal *forward.Refusal) bool {
	if x.last.record == nil || x.ctx.Err() != nil {
		return false
	}
	replayable := x.buffered || x.reclaimStream()
	now := x.p.cfg.Now()
	d := x.p.cfg.Retry.Decide(now, x.plan.match, retry.Attempt{
		Number:     x.attemptNumber,
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
		x.excluded.AvoidZone(model.Zone(d.AvoidZone))
	}
	return d.After <= 0 || sleep(x.ctx, d.After)
}

// reclaimStream recovers a streamed body for another attempt. It reports false if some
// of the body has been read, so that it can't be sent again.
func (x *exchange) reclaimStream() bool {
	if left := x.stream.Reclaim(); left != nil {
		x.stream = left
		return true
	}
	return false
}

// sleep waits for d. It reports false if ctx ended first.
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

// reportAttempt reports the result of the attempt to the balancer.
func (x *exchange) reportAttempt(o balance.Outcome) {
	x.last.choice.Done(x.p.cfg.Now(), balance.Result{
		Latency: x.last.latency,
		Outcome: o,
		Load:    x.last.load,
		Work:    model.WorkOf(x.plan.match.Class.Kind),
	})
}
