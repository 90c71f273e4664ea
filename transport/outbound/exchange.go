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
	"github.com/jacinthgate/jacinthgate/coordination/rollout"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/route"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// exchange is one caller's request and its attempts.
type exchange struct {
	p       *Proxy
	w       http.ResponseWriter
	r       *http.Request
	route   *route.Route
	service *model.Service
	// organisation holds the caller's key; nil without one. keyed says that the
	// configuration knows keys, so that none is passed on.
	organisation *route.Organisation
	keyed        bool
	began        time.Time
	// first is when the caller's first attempt arrived: its answer is due as long after
	// that as any.
	first time.Time
	// deadline ends the request: the earlier of the caller's and the route's.
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	wait     time.Duration // what the caller said it waits

	body requestBody
	// fingerprint is that of what the request asks for.
	fingerprint suspect.Fingerprint
	trail       attempt.Trail
	tried       balance.Exclusions
	links       pace.Search
	// called says that a repeated run seems to have made the request: as a call, it is a
	// repeat itself.
	called bool
	// answered says that an attempt was answered.
	answered bool
	// member stands for the request among those that expire together.
	member *attempt.Member
	// canaried says that an attempt has gone to a version that isn't trusted yet: one is
	// enough.
	canaried bool
	// others says that there is more than one backend server.
	others bool
	// room says that the last refusal came from a backend server with free slots.
	room bool
	// failure is a backend server's own failure that is kept while another
	// attempt is made.
	failure *answer
}

// answer is a whole response of a backend server.
type answer struct {
	resp *http.Response
	body []byte
}

func newExchange(p *Proxy, w http.ResponseWriter, r *http.Request, t *route.Table, found *route.Route, began time.Time) *exchange {
	x := &exchange{p: p, w: w, r: r, route: found, began: began, first: began}
	x.keyed = t.Keyed()
	x.service = t.Service(found.Pick(p.rand.Float64()))
	x.deadline = began.Add(found.Timeout)
	x.trail = attempt.NewTrail(found.Repeatable(), found.Attempts)
	x.ctx, x.cancel = r.Context(), func() {}
	return x
}

// run makes attempts until one is answered and relayed, or none may follow.
func (x *exchange) run() *refusal {
	wait, given, err := x.p.cfg.Dialect.Wait(x.r.Header)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: outcome.ReasonMalformed}
	}
	x.wait = x.route.Timeout
	if given {
		x.wait = wait
		if d := x.began.Add(wait); d.Before(x.deadline) {
			x.deadline = d
		}
	}
	if refused := x.refuseLate(); refused != nil {
		return refused
	}
	x.ctx, x.cancel = context.WithDeadline(x.r.Context(), x.deadline.Add(callerGrace))
	if x.body, err = readBody(x.w, x.r, x.p.cfg.MaxKept); err != nil {
		return &refusal{status: http.StatusBadRequest, reason: outcome.ReasonCancelled}
	}
	x.fingerprint = forward.Fingerprint(x.r, x.body.known())
	if first, returned := x.p.returns.FirstAttempt(uint64(x.fingerprint), x.until()); returned {
		x.first = first
		x.p.returned.Inc()
	}
	if !x.p.cfg.Now().Before(x.deadline) { // it has waited behind others on its connection
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
		if !x.again() {
			x.returnToken()
			return x.conclude()
		}
	}
}

// callerGrace is how long past the deadline an answer may still arrive from
// the gate: the backend server's own late failure tells the caller more.
const callerGrace = 60 * time.Millisecond

// attempt sends the request once and reports whether it was answered.
func (x *exchange) attempt() bool {
	// Callers ask again under a new identifier at any node: only what is asked for tells
	// that backend servers have crashed under it before.
	if x.p.cfg.Suspects().Quarantined(x.fingerprint) {
		x.trail.Forbid(outcome.ReasonQuarantined)
		return false
	}
	if x.keyed && !x.stillAuthorised() {
		x.trail.Forbid(outcome.ReasonUnproved)
		return false
	}
	now := x.p.cfg.Now()
	choice, err := x.pick(now)
	if err != nil {
		x.nobodyLeft()
		return false
	}
	x.trail.Sent()
	x.tried.Add(choice.Record.Node)
	resp, opening, err := forward.SendTimed(x.p.way(choice.Record), x.request(choice.Record, now), nil)
	took := max(0, x.p.cfg.Now().Sub(now)-opening)
	if err != nil {
		x.sendFailed(choice, err, x.p.cfg.Now().Sub(now))
		return false
	}
	return x.take(choice, resp, took)
}

// confine restricts the request to the regions of its route and organisation.
func (x *exchange) confine() {
	var own []model.Region
	if x.organisation != nil {
		own = x.organisation.Regions
	}
	x.tried.Confine(x.route.Regions, own)
}

// nobodyLeft notes that there is no further backend server to try.
func (x *exchange) nobodyLeft() {
	if x.tried.Confined() && x.trail.Progress.Sends == 0 {
		x.trail.Forbid(outcome.ReasonNoRegion)
		return
	}
	x.trail.Exhaust()
}

// pick chooses the backend server for the next send.
func (x *exchange) pick(now time.Time) (balance.Choice, error) {
	want := balance.PickOptions{Work: x.work(), MaxNearWait: max(0, x.due().Sub(now)/patiencePart)}
	routing := x.p.cfg.Routing().Of(x.service.Name)
	if c, ok := x.pickCanary(now, routing, want); ok {
		return c, nil
	}
	servers := x.candidates(routing)
	x.others = len(servers) > 1
	if x.route.Kind == model.KindBulk {
		return x.pickLink(now, servers, want)
	}
	return x.p.cfg.Balance.PickFor(now, x.service, servers, &x.tried, want)
}

// patiencePart is the part of the time until its answer is due that a request
// may be delayed by the load of a near server before one in another zone is taken:
// the other half is for the work itself.
const patiencePart = 2

// candidates returns the backend servers that any request may be sent to.
func (x *exchange) candidates(routing *rollout.Routing) []endpoint.Record {
	if routing != nil {
		return routing.Main
	}
	if view := x.p.cfg.View(); view != nil {
		return view.Service(x.service.Name)
	}
	return nil
}

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
	if x.r.ContentLength != 0 { // the gate reads the rest from the head
		h[outcome.HeaderFingerprint] = v[6:7:7]
	}
	x.markRepeat(h)
	x.nameOrganisation(h)
	if x.mayGoElsewhere(to, now) {
		h[outcome.HeaderElsewhere] = elsewhereValue
	}
	if x.route.Kind == model.KindUpload && x.body.asksFirst() && to.Node != x.p.cfg.Self {
		x.expectContinue(h)
	}
	if x.route.Kind == model.KindBulk {
		h[outcome.HeaderLinkWait] = []string{strconv.FormatInt(x.links.Wait(urgency.Left).Milliseconds(), 10)}
	}
	return out
}

// unreachableAfter is how long opening a connection in vain tells that the way is
// cut, also where the caller left meanwhile: it takes a few milliseconds, 70
// between regions.
const unreachableAfter = 100 * time.Millisecond

// sendFailed notes an attempt that got no response from the gate in the time that
// it waited for one.
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
