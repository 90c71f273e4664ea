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

// join counts the request for the bound on repeats and among those that expire together
// with it. The result ends the latter.
func (x *exchange) join() (leave func()) {
	if x.called = x.p.cfg.Runs.Call(x.until()); x.called {
		x.p.cfg.Budget.NestedCall(x.began, x.service.Name)
	} else {
		x.p.cfg.Budget.Request(x.began, x.service.Name)
	}
	x.member = x.p.together.Join(x.began, x.service.Name, x.until())
	return func() { x.member.Leave(x.answered) }
}

var repeatValue = []string{"1"}

// markRepeat tells the gate where the run would be a repeat.
func (x *exchange) markRepeat(h http.Header) {
	if x.called || x.trail.Progress.Reached > 0 {
		h[outcome.HeaderRepeat] = repeatValue
	}
}

// noteStrain notes what a gate tells of the calls that repeated runs make on its host.
func (x *exchange) noteStrain(h http.Header) {
	percent, _, err := forward.HeaderInt(h, outcome.HeaderStrain)
	if err != nil {
		return // a gate that tells something else tells nothing
	}
	x.p.cfg.Budget.ObserveUsage(x.p.cfg.Now(), x.service.Name, attempt.BudgetUsageOf(percent))
}

// repeat reports whether the request may be sent to one more backend server.
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

// gain returns what a repeat would be worth. Where other requests expire together with
// this one it waits until those that were sent with it are refused too or run. It reports
// false when the caller has left.
func (x *exchange) gain() (attempt.Gain, bool) {
	if !x.p.cfg.Budget.OrdersByGain() {
		return attempt.GainWhole, true // callers wait for nothing that decides nothing
	}
	x.member.Failing()
	if all, failing := x.member.Others(); all > 0 && failing == 0 {
		t := time.NewTimer(attempt.SettleTime)
		defer t.Stop()
		select {
		case <-t.C:
		case <-x.ctx.Done():
			return attempt.GainPart, false
		}
	}
	_, failing := x.member.Others()
	return attempt.GainOf(failing), true
}

// countRepeat counts who got a repeat and who was denied one.
func (p *Proxy) countRepeat(g attempt.Gain, granted bool) {
	name := `jacinthgate_outbound_repeats_total{gain="` + g.String() + `",granted="` + strconv.FormatBool(granted) + `"}`
	c, ok := p.outcomes.Load(name)
	if !ok {
		c, _ = p.outcomes.LoadOrStore(name, p.cfg.Metrics.GetOrCreateCounter(name))
	}
	c.(*metrics.Counter).Inc()
}
