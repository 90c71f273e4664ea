package attempt

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestServiceUsesLessOfItsBoundWhileAnotherRepeats(t *testing.T) {
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
			b.Called(begin, "s")
		}
	}))
	must.Eq(t, int(cfg.Safety*cfg.Slack), allowed(func(b *Budget) {
		for b.Repeat(begin, "other", GainWhole) {
		}
	}), must.Sprint("never less than its own part"))
}

func TestRepeatsThatGainLessLeaveTheRest(t *testing.T) {
	cfg := config()
	b := NewBudget(cfg)
	less, all := 0, 0
	for b.Repeat(begin, "s", GainPart) {
		less++
	}
	all = less
	for b.Repeat(begin, "s", GainWhole) {
		all++
	}
	must.Eq(t, int(partOfBound*cfg.Alone*cfg.Slack), less)
	must.Eq(t, int(cfg.Alone*cfg.Slack), all)
}

// play is a fleet in which one service calls another: each run makes so many calls, which
// enter at the hosts of the calling service's backend servers.
type play struct {
	calls                       int     // of each run
	callingRefused, callRefused float64 // of what a service gets
	own                         int     // requests of callers for the service called, for each one for the calling
}

// worst returns the largest part of the bound that the repeats at the service called took.
func (p play) worst(cfg BudgetConfig) float64 {
	const nodes, hosts = 24, 8 // hosts of the calling service are the first ones
	rng := rand.New(rand.NewPCG(1, 1))
	budgets := fleetOf(nodes, cfg)
	var called arrivals
	send := func(at time.Duration, b *Budget, ofRepeat bool) {
		called.requests = append(called.requests, at)
		if ofRepeat {
			b.Called(begin.Add(at), "called")
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
		for range p.own {
			send(at, budgets[rng.IntN(nodes)], false)
		}
		b := budgets[rng.IntN(nodes)]
		b.Request(begin.Add(at), "calling")
		repeat := rng.Float64() < p.callingRefused
		if repeat {
			b.Told(begin.Add(at), "calling", budgets[rng.IntN(hosts)].Strain(begin.Add(at)))
		}
		if repeat && !b.Repeat(begin.Add(at), "calling", GainWhole) {
			continue
		}
		host := budgets[rng.IntN(hosts)]
		for range p.calls {
			send(at, host, repeat)
		}
		b.Told(begin.Add(at), "calling", host.Strain(begin.Add(at)))
	}
	return called.worst(cfg)
}

func TestFleetKeepsItsBoundWithCallsOfRepeatedRuns(t *testing.T) {
	for name, p := range map[string]play{
		"only the service called refuses": {calls: 2, callRefused: 0.6, own: 1},
		"and has no other requests":       {calls: 2, callRefused: 0.6},
		"only the calling one refuses":    {calls: 3, callingRefused: 0.6},
		"it refuses, and one is called":   {calls: 1, callingRefused: 0.6, own: 1},
		"both refuse":                     {calls: 2, callingRefused: 0.6, callRefused: 0.6, own: 1},
		"both refuse, three calls":        {calls: 3, callingRefused: 0.6, callRefused: 0.6},
		"the calling one refuses little":  {calls: 3, callingRefused: 0.05, callRefused: 0.6},
	} {
		worst := p.worst(config())
		t.Log(name, worst)
		must.LessEq(t, 1, worst, must.Sprint(name))
		if p.callRefused > 0 {
			must.Greater(t, 0.6, worst, must.Sprint(name, "the bound is used"))
		}
	}
}
