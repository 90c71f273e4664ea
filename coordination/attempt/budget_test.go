package attempt

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var begin = time.Unix(1_000_000, 0)

func config() BudgetConfig {
	return BudgetConfig{Ratio: 0.2, Slack: 56, Window: 10 * time.Second, Safety: DefaultSafety, Alone: 0.85}
}

// arrivals holds the times at which requests and retries reached one service.
type arrivals struct{ requests, repeats []time.Duration }

// highestUsage returns the largest fraction of the fleet's retry budget that the retries
// of any window used.
func (a *arrivals) highestUsage(cfg BudgetConfig) float64 {
	highest := 0.0
	for _, from := range a.repeats {
		requests, repeats := 0.0, 0.0
		for _, at := range a.requests {
			if at >= from && at < from+cfg.Window {
				requests++
			}
		}
		for _, at := range a.repeats {
			if at >= from && at < from+cfg.Window {
				repeats++
			}
		}
		highest = max(highest, repeats/(cfg.Ratio*requests+cfg.Slack))
	}
	return highest
}

// fleetOf returns the budgets of a fleet of nodes.
func fleetOf(nodes int, cfg BudgetConfig) []*Budget {
	budgets := make([]*Budget, nodes)
	for i := range budgets {
		budgets[i] = NewBudget(cfg)
		budgets[i].SetNodes(nodes)
	}
	return budgets
}

// Guards against exceeding the budget when both the calling and the called service shed
// half of their requests: the nested calls of the calling service's retries count as
// retries at the called one. With a Safety of 0.6 it got 871 retries where 850 were
// allowed.
func TestFleetStaysWithinBudgetWhenCallingAndCalledServiceFail(t *testing.T) {
	const nodes = 12
	cfg := config()
	rng := rand.New(rand.NewPCG(1, 1))
	budgets := fleetOf(nodes, cfg)
	var called arrivals
	call := func(at time.Duration, repeated bool) {
		b := budgets[rng.IntN(nodes)]
		b.Request(begin.Add(at), "called")
		called.requests = append(called.requests, at)
		if repeated {
			called.repeats = append(called.repeats, at)
		}
		if b.Repeat(begin.Add(at), "called", GainWhole) {
			called.repeats = append(called.repeats, at)
		}
	}
	for at := time.Duration(0); at < 40*time.Second; at += 5 * time.Millisecond {
		b := budgets[rng.IntN(nodes)]
		b.Request(begin.Add(at), "calling")
		call(at, false)
		if b.Repeat(begin.Add(at), "calling", GainWhole) {
			call(at, true)
		}
	}
	must.LessEq(t, 1, called.highestUsage(cfg))
	must.Greater(t, 0.6, called.highestUsage(cfg), must.Sprint("most of the budget is used"))
}

// Guards against exceeding the budget when a third of one service's requests call another
// service, which refuses six tenths of its requests. Backend servers answer 500 when a
// nested call fails, the request is retried elsewhere, and the nested call of the retry
// counts as a retry at the called service. All retried requests are ones with a nested
// call, not just a third of them, and half of the larger service's budget is more than the
// whole budget of the called one, which has a third of the requests: it got 1,147 retries
// where 905 were allowed. Some 400 of them were its own retries, of which 240 were refused
// again; the other 700 were nested calls.
func TestFleetStaysWithinBudgetWhenOnlyRequestsWithNestedCallsAreRetried(t *testing.T) {
	const (
		nodes   = 12
		calling = 3   // one in so many requests makes a nested call
		refused = 0.6 // fraction of requests that the called service refuses
	)
	cfg := config()
	rng := rand.New(rand.NewPCG(1, 1))
	budgets := fleetOf(nodes, cfg)
	var called arrivals
	call := func(at time.Duration, repeated bool) (served bool) {
		b := budgets[rng.IntN(nodes)]
		b.Request(begin.Add(at), "called")
		called.requests = append(called.requests, at)
		if repeated {
			called.repeats = append(called.repeats, at)
		}
		if rng.Float64() >= refused {
			return true
		}
		if !b.Repeat(begin.Add(at), "called", GainWhole) {
			return false
		}
		called.repeats = append(called.repeats, at)
		return rng.Float64() >= refused
	}
	for at := time.Duration(0); at < 40*time.Second; at += time.Second / 800 {
		b := budgets[rng.IntN(nodes)]
		b.Request(begin.Add(at), "calling")
		if rng.IntN(calling) > 0 {
			continue
		}
		if !call(at, false) && b.RepeatAfterFailure(begin.Add(at), "calling", GainWhole) {
			call(at, true)
		}
	}
	t.Log("fraction of the budget used:", called.highestUsage(cfg))
	must.LessEq(t, 1, called.highestUsage(cfg))
	must.Greater(t, 0.4, called.highestUsage(cfg), must.Sprint("most of the budget is used"))
}

func TestRetriesBeyondTheSlackNeedRequests(t *testing.T) {
	b := NewBudget(config())
	allowed := 0
	for range 1000 {
		if b.Repeat(begin, "s", GainWhole) {
			allowed++
		}
	}
	cfg := config()
	must.Eq(t, int(cfg.Alone*cfg.Slack), allowed)
	must.False(t, b.Repeat(begin.Add(cfg.Window-time.Second), "s", GainWhole))
	must.True(t, b.Repeat(begin.Add(2*cfg.Window), "s", GainWhole), must.Sprint("retries outside the window no longer count"))
}

func TestSlackIsSharedByTheNodes(t *testing.T) {
	b := NewBudget(config())
	b.SetNodes(1000)
	must.False(t, b.Repeat(begin, "s", GainWhole))
	for range 100 {
		b.Request(begin, "s")
	}
	must.True(t, b.Repeat(begin, "s", GainWhole))
}

func TestTheClockMayGoBack(t *testing.T) {
	b := NewBudget(config())
	b.Request(begin, "s")
	b.Request(begin.Add(-time.Hour), "s")
	must.True(t, b.Repeat(begin, "s", GainWhole))
}

// Guards against rounding every node's share down, which leaves up to one retry per node
// unused.
func TestNodeSharesOfALargeFleetAddUpToTheBudget(t *testing.T) {
	for _, nodes := range []int{1000, 2000} {
		rnd := rand.New(rand.NewPCG(7, uint64(nodes)))
		requests, granted := 0, 0
		for range nodes {
			cfg := BudgetConfig{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second, Safety: DefaultSafety, Draw: rnd.Float64()}
			b := NewBudget(cfg)
			b.SetNodes(nodes)
			for i := range 200 {
				now := time.Unix(1000, 0).Add(time.Duration(i) * 50 * time.Millisecond)
				if rnd.Float64() < 0.1 {
					b.Request(now, "s")
					requests++
				}
				if i%10 == 0 && b.Repeat(now, "s", GainWhole) {
					granted++
				}
			}
		}
		budget := DefaultSafety * (0.2*float64(requests) + 1000)
		must.Between(t, 0.95*budget, float64(granted), 1.05*budget)
	}
}
