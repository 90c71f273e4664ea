package attempt

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestUsableBudgetShrinksWhileAnotherServiceRetries(t *testing.T) {
	allowed := func(prepare func(b *Budget)) (n int) {
		b := NewBudget(config())
		prepare(b)
		for b.Repeat(begin, "s", GainWhole) {
			n++
		}
		return n
	}
	cfg := config()
	must.Eq(t, int(cfg.Alone*cfg.Slack), allowed(func(*Budget) {}))
	must.Eq(t, int(cfg.Alone*cfg.Slack)-5, allowed(func(b *Budget) {
		for range 5 {
			must.True(t, b.Repeat(begin, "other", GainWhole))
		}
	}))
	must.Eq(t, int(cfg.Alone*cfg.Slack+cfg.Alone*cfg.Ratio*5)-5, allowed(func(b *Budget) {
		for range 5 {
			b.NestedCall(begin, "s")
		}
	}))
	must.Eq(t, int(cfg.Safety*cfg.Slack), allowed(func(b *Budget) {
		for b.Repeat(begin, "other", GainWhole) {
		}
	}), must.Sprint("never less than the Safety fraction"))
}

func TestPartGainRetriesLeaveBudgetForWholeGain(t *testing.T) {
	cfg := config()
	b := NewBudget(cfg)
	partGain, all := 0, 0
	for b.Repeat(begin, "s", GainPart) {
		partGain++
	}
	all = partGain
	for b.Repeat(begin, "s", GainWhole) {
		all++
	}
	must.Eq(t, int(partGainShare*cfg.Alone*cfg.Slack), partGain)
	must.Eq(t, int(cfg.Alone*cfg.Slack), all)
}

// nestedCallsSim simulates a fleet in which one service calls another. The nested calls
// enter the mesh at the hosts of the calling service's backend servers.
type nestedCallsSim struct {
	calls                       int     // nested calls of each run
	callingRefused, callRefused float64 // fractions of the requests that the calling and the called service refuse
	direct                      int     // callers' requests for the called service for each one for the calling service
}

// highestUsage runs the simulation and returns the largest fraction of the called service's
// retry budget that its retries used.
func (p nestedCallsSim) highestUsage(cfg BudgetConfig) float64 {
	const nodes, hosts = 24, 8 // hosts of the calling service are the first ones
	rng := rand.New(rand.NewPCG(1, 1))
	budgets := fleetOf(nodes, cfg)
	var called arrivals
	send := func(at time.Duration, b *Budget, ofRepeat bool) {
		called.requests = append(called.requests, at)
		if ofRepeat {
			b.NestedCall(begin.Add(at), "called")
			called.repeats = append(called.repeats, at)
		} else {
			b.Request(begin.Add(at), "called")
		}
		for attempts := 1; attempts < 3 && rng.Float64() < p.callRefused; attempts++ {
			if !b.Repeat(begin.Add(at), "called", GainWhole) {
				return
			}
			called.repeats = append(called.repeats, at)
		}
	}
	for at := time.Duration(0); at < 40*time.Second; at += time.Second / 400 {
		for range p.direct {
			send(at, budgets[rng.IntN(nodes)], false)
		}
		b := budgets[rng.IntN(nodes)]
		b.Request(begin.Add(at), "calling")
		repeat := rng.Float64() < p.callingRefused
		if repeat {
			b.ObserveUsage(begin.Add(at), "calling", budgets[rng.IntN(hosts)].CalledUsage(begin.Add(at)))
		}
		if repeat && !b.Repeat(begin.Add(at), "calling", GainWhole) {
			continue
		}
		host := budgets[rng.IntN(hosts)]
		for range p.calls {
			send(at, host, repeat)
		}
		b.ObserveUsage(begin.Add(at), "calling", host.CalledUsage(begin.Add(at)))
	}
	return called.highestUsage(cfg)
}

func TestFleetStaysWithinBudgetWithNestedCallsOfRetries(t *testing.T) {
	for name, p := range map[string]nestedCallsSim{
		"only the called service refuses":                      {calls: 2, callRefused: 0.6, direct: 1},
		"only the called service refuses, no direct requests":  {calls: 2, callRefused: 0.6},
		"only the calling service refuses, no direct requests": {calls: 3, callingRefused: 0.6},
		"only the calling service refuses, one nested call":    {calls: 1, callingRefused: 0.6, direct: 1},
		"both services refuse":                                 {calls: 2, callingRefused: 0.6, callRefused: 0.6, direct: 1},
		"both services refuse, three nested calls":             {calls: 3, callingRefused: 0.6, callRefused: 0.6},
		"the calling service refuses little":                   {calls: 3, callingRefused: 0.05, callRefused: 0.6},
	} {
		usage := p.highestUsage(config())
		t.Log(name, usage)
		must.LessEq(t, 1, usage, must.Sprint(name))
		if p.callRefused > 0 {
			must.Greater(t, 0.6, usage, must.Sprint(name, "most of the budget is used"))
		}
	}
}
