package outbound

import (
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// join counts the request in the retry budget and adds it to the group of requests with the
// same deadline. The function that it returns removes it from that group.
func (x *exchange) join() (leave func()) {
	if x.nestedCall = x.p.cfg.Runs.Call(x.callerDeadline()); x.nestedCall {
		x.p.cfg.Budget.NestedCall(x.arrived, x.service.Name)
	} else {
		x.p.cfg.Budget.Request(x.arrived, x.service.Name)
	}
	x.groupMember = x.p.callGroups.Join(x.arrived, x.service.Name, x.callerDeadline())
	return func() { x.groupMember.Leave(x.answered) }
}

// markRepeat sets the header that marks the request as a repeat for the gate: where an
// earlier attempt has reached a backend server, or where it is a nested call of a retry.
func (x *exchange) markRepeat(h http.Header) {
	if x.nestedCall || x.trail.Progress.Reached > 0 {
		h[outcome.HeaderRepeat] = flagValue
	}
}

// observeBudgetUsage passes on to the retry budget how much of it the nested calls of
// retries on the gate's host use, as the gate reports it in its response.
func (x *exchange) observeBudgetUsage(h http.Header) {
	percent, _, err := forward.HeaderInt(h, outcome.HeaderBudgetUsage)
	if err != nil {
		return // an invalid value is ignored
	}
	x.p.cfg.Budget.ObserveUsage(x.p.cfg.Now(), x.service.Name, attempt.BudgetUsageOf(percent))
}

// repeat takes a repeat from the retry budget and reports whether it was granted, that is,
// whether the request may be sent to one more backend server.
func (x *exchange) repeat() bool {
	gain, ok := x.gain()
	if !ok {
		return false
	}
	now := x.p.cfg.Now()
	if x.failure != nil {
		ok = x.p.cfg.Budget.RepeatAfterFailure(now, x.service.Name, gain)
	} else {
		ok = x.p.cfg.Budget.Repeat(now, x.service.Name, gain)
	}
	x.p.countRepeat(gain, ok)
	return ok
}

// gain returns the expected gain of a repeat. Where the request's group, presumably calls of
// the same run, has other members and none of them has failed, it first waits for
// attempt.SettleTime: by then those sent together with it have been refused as well or run. It
// reports false when the request has expired or its caller has disconnected meanwhile.
func (x *exchange) gain() (attempt.Gain, bool) {
	if !x.p.cfg.Budget.OrdersByGain() {
		return attempt.GainWhole, true // the gain is not used, so don't delay the caller
	}
	x.groupMember.Failing()
	if all, failing := x.groupMember.Others(); all > 0 && failing == 0 {
		t := time.NewTimer(attempt.SettleTime)
		defer t.Stop()
		select {
		case <-t.C:
		case <-x.ctx.Done():
			return attempt.GainPart, false
		}
	}
	_, failing := x.groupMember.Others()
	return attempt.GainOf(failing), true
}

// countRepeat counts a repeat that was granted or denied, by its gain.
func (p *Proxy) countRepeat(g attempt.Gain, granted bool) {
	name := `jacinthgate_outbound_repeats_total{gain="` + g.String() + `",granted="` + strconv.FormatBool(granted) + `"}`
	c, ok := p.counters.Load(name)
	if !ok {
		c, _ = p.counters.LoadOrStore(name, p.cfg.Metrics.GetOrCreateCounter(name))
	}
	c.(*metrics.Counter).Inc()
}
