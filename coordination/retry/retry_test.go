package retry

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

var start = time.Unix(1000, 0)

func newRetrier(t *testing.T, class model.Class) (*Retrier, snapshot.Match) {
	class.Name = "read"
	c := &model.Contract{Organisation: "tabla", Classes: []model.Class{class}}
	s, err := snapshot.Build(1, map[string]*snapshot.ContractEntry{"tabla": {Revision: 1, Contract: c}}, nil)
	must.NoError(t, err)
	r := New(DefaultConfig(), 1)
	r.Update(s)
	return r, snapshot.Match{Contract: c, Class: &c.Classes[0]}
}

func TestDecide(t *testing.T) {
	shed := Attempt{Number: 1, Replayable: true, Left: time.Second, Outcome: outcome.NotRun, Reason: outcome.ReasonShed, Zone: "z1"}
	lost := shed
	lost.Outcome, lost.Reason = outcome.Unknown, outcome.ReasonBackendFailed
	unsent := shed
	unsent.Reason, unsent.Unsent = outcome.ReasonBackendFailed, true
	with := func(a Attempt, change func(*Attempt)) Attempt { change(&a); return a }
	cases := map[string]struct {
		kind       model.ClassKind
		repeatable bool
		attempt    Attempt
		stop       Stop
	}{
		"shed":                           {model.KindInteractive, true, shed, StopNone},
		"shed booking":                   {model.KindNonRepeatable, false, shed, StopNone},
		"shed bulk":                      {model.KindBulk, true, shed, StopOverload},
		"lost read":                      {model.KindInteractive, true, lost, StopNone},
		"lost booking":                   {model.KindNonRepeatable, false, lost, StopUnsafe},
		"answered":                       {model.KindInteractive, true, with(shed, func(a *Attempt) { a.Outcome = outcome.Answered }), StopAnswered},
		"body not replayable":            {model.KindInteractive, true, with(lost, func(a *Attempt) { a.Replayable = false }), StopBody},
		"body not replayable, unsent":    {model.KindInteractive, true, with(unsent, func(a *Attempt) { a.Replayable = false }), StopNone},
		"third attempt":                  {model.KindInteractive, true, with(unsent, func(a *Attempt) { a.Number = 3 }), StopAttempts},
		"limited":                        {model.KindInteractive, true, with(shed, func(a *Attempt) { a.Reason = outcome.ReasonRateLimited }), StopUseless},
		"too little time left":           {model.KindInteractive, true, with(shed, func(a *Attempt) { a.Left = time.Millisecond }), StopDeadline},
		"inherited":                      {model.KindInteractive, true, with(shed, func(a *Attempt) { a.Inherited = true }), StopInherited},
		"inherited, unsent":              {model.KindInteractive, true, with(unsent, func(a *Attempt) { a.Inherited = true }), StopNone},
		"lost, inherited, marked unsent": {model.KindInteractive, true, with(lost, func(a *Attempt) { a.Unsent = true; a.Inherited = true }), StopInherited},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, m := newRetrier(t, model.Class{Kind: c.kind, Repeatable: c.repeatable, RetryBudget: &model.RetryBudget{Ratio: 1}})
			r.First(m, false)
			d := r.Decide(start, m, c.attempt)
			must.Eq(t, c.stop, d.Stop)
			must.LessEq(t, 25*time.Millisecond, d.After)
			must.Eq(t, d.Stop == StopNone && c.attempt.Reason == outcome.ReasonShed, d.AvoidZone == "z1")
		})
	}
}

func TestBudget(t *testing.T) {
	lost := Attempt{Number: 1, Replayable: true, Left: time.Second, Outcome: outcome.Unknown}
	class := model.Class{Repeatable: true, Kind: model.KindInteractive, RetryBudget: &model.RetryBudget{Ratio: 0.1, MinPerSecond: 2}}
	r, m := newRetrier(t, class)
	retries := func(now time.Time) (n int) {
		for r.Decide(now, m, lost).Stop == StopNone {
			n++
		}
		return n
	}
	must.Eq(t, 20, retries(start)) // MinPerSecond over MinWindow
	for range 100 {
		r.First(m, false)
		r.First(m, true)
	}
	must.Eq(t, 10, retries(start))
	must.Eq(t, 2, retries(start.Add(time.Second)))
	for range 10000 {
		r.First(m, false)
	}
	must.Eq(t, 50, retries(start.Add(time.Second))) // MaxEarned
	r.SetShare(0)
	must.Zero(t, retries(start.Add(time.Minute)))
	r, m = newRetrier(t, model.Class{Repeatable: true})
	r.First(m, false)
	must.Eq(t, StopBudget, r.Decide(start, m, lost).Stop)
}

// attemptsPerCall sends calls through a chain of hops nodes, the last of which always
// fails, and returns the mean number of attempts there for each call. markInherited says
// that nodes mark the attempts that are retries or made on behalf of one.
func attemptsPerCall(t *testing.T, hops, calls int, markInherited bool, ratio float64) float64 {
	nodes := make([]*Retrier, hops)
	var m snapshot.Match
	for i := range nodes {
		nodes[i], m = newRetrier(t, model.Class{Repeatable: true, Kind: model.KindInteractive, RetryBudget: &model.RetryBudget{Ratio: ratio}})
	}
	attempts := 0
	var call func(hop int, inherited bool)
	call = func(hop int, inherited bool) {
		if hop == hops {
			attempts++
			return
		}
		nodes[hop].First(m, inherited)
		a := Attempt{Number: 1, Inherited: inherited, Replayable: true, Left: time.Minute, Outcome: outcome.Unknown}
		for {
			call(hop+1, markInherited && (inherited || a.Number > 1))
			if nodes[hop].Decide(start, m, a).Stop != StopNone {
				return
			}
			a.Number++
		}
	}
	for range calls {
		call(0, false)
	}
	return float64(attempts) / float64(calls)
}

// TestAmplification checks the factor by which a failure at the end of 8 hops
// multiplies the load there, with inherited retries marked and without.
func TestAmplification(t *testing.T) {
	const hops, ratio = 8, 0.2
	marked := attemptsPerCall(t, hops, 2000, true, ratio)
	unmarked := attemptsPerCall(t, hops, 2000, false, ratio)
	naive := math.Pow(3, hops)
	t.Logf("attempts at the last of %d hops for each call: inherited retries marked %.2f, budget alone %.2f, 3 attempts at each hop without a budget %.0f", hops, marked, unmarked, naive)
	must.LessEq(t, 1+hops*ratio, marked)
	must.LessEq(t, math.Pow(1+ratio, hops)+0.01, unmarked)
	must.Greater(t, marked, unmarked)
}
