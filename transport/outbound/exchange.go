package outbound

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/pace"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/route"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// exchange is the state of one request of a caller across all its attempts.
type exchange struct {
	p       *Proxy
	w       http.ResponseWriter
	r       *http.Request
	route   *route.Route
	service *model.Service
	// organisation is the one that the caller's key belongs to; nil where the request shows
	// no known key. keyed reports whether the configuration has API keys: they are then
	// stripped from the request.
	organisation *route.Organisation
	keyed        bool
	arrived      time.Time
	// firstArrival is the arrival time of the caller's first attempt at this request: the latency
	// target counts from there, also after a refusal and a retry by the caller.
	firstArrival time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline   time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	progress   *forward.Progress // ctx, once run has begun
	callerWait time.Duration     // for how long the caller waits; the route's timeout if not given

	body requestBody
	// bounded is the body of r if its length isn't known and the configuration limits it, else nil.
	bounded *boundedBody
	// fingerprint identifies the content of the request: callers retry the same content
	// under a new request ID.
	fingerprint suspect.Fingerprint
	// trial reports whether the request is the trial of its quarantine.
	trial      bool
	trail      attempt.Trail
	exclusions balance.Exclusions
	linkSearch pace.Search
	// nestedCall reports whether the request is presumably a nested call of a retry: it then
	// counts as a repeat itself.
	nestedCall bool
	// answered reports whether a response was relayed to the caller.
	answered bool
	// groupMember is this request's membership in the group of those with the same deadline.
	groupMember *attempt.Member
	// triedCanary reports whether an attempt was sent to a version that is on trial in a
	// roll-out: a request is exposed to one at most once.
	triedCanary bool
	// hasAlternatives reports whether there is more than one candidate backend server.
	hasAlternatives bool
	// freeSlots reports whether the last refusal came from a backend server with free slots.
	freeSlots bool
	// limitWait is the shortest time until one of the servers that refused for their rate
	// limits expects to accept another request; 0 if none did, or if refusedOtherwise is set, as
	// one has refused for another reason.
	limitWait        time.Duration
	refusedOtherwise bool
	// reserved is the memory reserved to buffer a large response, in bytes.
	reserved int64
	// failure is an error response of a backend server, kept while another attempt is
	// made and relayed if that gets no better one.
	failure *bufferedResponse
}

// bufferedResponse is a completely buffered response of a backend server.
type bufferedResponse struct {
	resp *http.Response
	body []byte
}

func newExchange(p *Proxy, w http.ResponseWriter, r *http.Request, t *route.Table, found *route.Route, arrived time.Time) *exchange {
	x := &exchange{p: p, w: w, route: found, arrived: arrived, firstArrival: arrived}
	x.r, x.bounded = boundBody(r, t.Limits().BodyBytes)
	x.keyed = t.RequiresKey()
	x.service = t.Service(found.Pick(p.rand.Float64()))
	x.deadline = arrived.Add(found.Timeout)
	x.trail = attempt.NewTrail(found.Repeatable(), found.Attempts)
	x.ctx, x.cancel = r.Context(), func() {}
	return x
}

// run makes attempts until a response is relayed or no further attempt is allowed. It
// returns the refusal to send to the caller; nil where a response was written.
func (x *exchange) run() *refusal {
	wait, given, err := x.p.cfg.Dialect.Wait(x.r.Header)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: outcome.ReasonMalformed}
	}
	x.callerWait = x.route.Timeout
	if given {
		x.callerWait = wait
		if d := x.arrived.Add(wait); d.Before(x.deadline) {
			x.deadline = d
		}
	}
	if refused := x.refuseAtShutdown(); refused != nil {
		return refused
	}
	x.progress = forward.NewProgress(x.r.Context(), x.deadline.Add(callerGrace), x.p.cfg.ResponseExtension)
	x.ctx, x.cancel = x.progress, x.progress.End
	if x.body, err = x.readBodyInTime(); err != nil {
		return x.bodyRefusal()
	}
	x.fingerprint = forward.Fingerprint(x.r, x.body.readSoFar())
	if first, found := x.p.refusals.FirstAttempt(uint64(x.fingerprint), x.callerDeadline()); found {
		x.firstArrival = first
		x.p.callerRetries.Inc()
	}
	if !x.p.cfg.Now().Before(x.deadline) { // it expired behind pipelined requests on its connection
		x.trail.Forbid(outcome.ReasonDeadline)
		return x.conclude()
	}
	if refused := x.takeToken(); refused != nil {
		return refused
	}
	x.confine()
	defer x.join()()
	for {
		if x.attempt() {
			x.answered = true
			return nil
		}
		if !x.prepareRetry() {
			x.returnTrial()
			x.returnToken()
			return x.conclude()
		}
	}
}

// callerGrace is how long after the deadline a response of the gate is still accepted:
// the backend server's own late failure is more specific than a timeout.
const callerGrace = 60 * time.Millisecond

// attempt sends the request once and reports whether a response was relayed.
func (x *exchange) attempt() bool {
	// Callers retry at any node under a new request ID: only the fingerprint of the
	// content links the request to earlier crashes of backend servers.
	if x.p.cfg.Suspects().Quarantined(x.fingerprint) && !x.mayTry() {
		x.trail.Forbid(outcome.ReasonQuarantined)
		return false
	}
	if x.keyed {
		if reason := x.authoriseAgain(); reason != "" {
			x.trail.Forbid(reason)
			return false
		}
	}
	now := x.p.cfg.Now()
	choice, err := x.pick(now)
	if err != nil {
		x.noServerLeft(err)
		return false
	}
	x.trail.Sent()
	x.exclusions.Add(choice.Record.Node)
	resp, opening, err := forward.SendTimed(x.p.transport(choice.Record), x.request(choice.Record, now), nil)
	took := max(0, x.p.cfg.Now().Sub(now)-opening)
	if err != nil {
		x.sendFailed(choice, err, x.p.cfg.Now().Sub(now))
		return false
	}
	return x.handleResponse(choice, resp, now, took)
}

// flagValue is the value of headers that are only present or absent.
var flagValue = []string{"1"}

// request builds the request to the gate of the chosen backend server.
func (x *exchange) request(to *endpoint.Record, now time.Time) *http.Request {
	body, length := x.body.source(x.r)
	out := forward.NewRequest(x.ctx, x.r, "http", to.GateAddr, body, length)
	h := out.Header
	forward.StripNodeHeaders(h)
	left := max(1, x.deadline.Sub(now).Milliseconds())
	urgency := outcome.Urgency{
		Left:   max(0, x.due().Sub(now)),
		Target: x.route.Target,
		Rank:   x.rank(),
	}
	v := [...]string{
		strconv.FormatInt(left, 10),
		string(x.route.Kind),
		x.service.Name,
		to.Instance,
		x.p.cfg.CallerService(),
		urgency.String(),
		x.fingerprint.String(),
	}
	h[outcome.HeaderDeadline] = v[0:1:1]
	h[outcome.HeaderKind] = v[1:2:2]
	h[outcome.HeaderService] = v[2:3:3]
	h[outcome.HeaderInstance] = v[3:4:4]
	h[outcome.HeaderCaller] = v[4:5:5]
	h[outcome.HeaderUrgency] = v[5:6:6]
	if x.r.ContentLength != 0 { // without a body the gate computes it from the request's head alone
		h[outcome.HeaderFingerprint] = v[6:7:7]
	}
	x.addLimitHint(to, h, now)
	x.markRepeat(h)
	x.replaceKey(h)
	if x.trial {
		h[outcome.HeaderTrial] = flagValue
	}
	if x.mayReroute(to, now) {
		h[outcome.HeaderReroutable] = flagValue
	}
	if x.route.Kind == model.KindUpload && x.body.needsContinue() && to.Node != x.p.cfg.Self {
		x.expectContinue(h)
	}
	if x.route.Kind == model.KindBulk {
		h[outcome.HeaderLinkWait] = []string{strconv.FormatInt(x.linkSearch.Wait(urgency.Left).Milliseconds(), 10)}
	}
	return out
}

// unreachableAfter is how long a connection attempt must have lasted for the server to
// count as unreachable, even if the caller disconnected meanwhile. Connecting takes a few
// milliseconds, between regions 70.
const unreachableAfter = 100 * time.Millisecond

// sendFailed records an attempt that received no response from the gate. waited is how
// long the attempt lasted.
func (x *exchange) sendFailed(choice balance.Choice, err error, waited time.Duration) {
	var send *forward.SendError
	sent := !errors.As(err, &send) || send.Sent
	verdict, out := balance.Failed, outcome.NotRun
	if sent {
		out = outcome.Unknown
		x.trail.Reached()
	}
	reason := outcome.ReasonBackendFailed
	switch {
	case x.tooLarge():
		reason, verdict = outcome.ReasonTooLarge, balance.Cancelled
	case x.r.Context().Err() != nil:
		reason, verdict = outcome.ReasonCancelled, balance.Cancelled
	case x.ctx.Err() != nil:
		reason = outcome.ReasonDeadline
	}
	if verdict == balance.Failed && x.ctx.Err() == nil || !sent && waited >= unreachableAfter {
		verdict = balance.Unreachable
	}
	choice.Done(x.p.cfg.Now(), balance.Result{Outcome: verdict})
	x.trail.Note(out, reason)
	_ = x.p.cfg.Details.Log("event", "gate_send_failed", "request", x.p.cfg.Dialect.RequestID(x.r.Header),
		"node", choice.Record.Node, "instance", choice.Record.Instance, "sent", sent, "err", err)
}
