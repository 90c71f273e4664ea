package attempt

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// shedding plays callers of a service whose backend servers refuse 0.55 of what
// they get, though they have room: requests of 220 ms on average with a target of
// 0.8 s, of callers that wait for 5 s and come back twice. It returns the part
// that is answered in time, by how callers are told to come back.
func shedding(comeBack func(Refused) time.Duration) float64 {
	const (
		requests = 20000
		refuses  = 0.55
		target   = 800 * time.Millisecond
		patience = 5 * time.Second
		trip     = 10 * time.Millisecond
		gap      = 2 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 4))
	policy := DefaultPolicy()
	budget := NewBudget(BudgetConfig{Ratio: 0.2, Slack: 20, Window: 10 * time.Second, Safety: DefaultSafety})
	// serve makes one attempt of a caller and reports whether it was served.
	serve := func(now time.Time) bool {
		budget.Request(now, "s")
		trail := NewTrail(true, 2)
		for {
			trail.Sent()
			trail.Reached()
			if rng.Float64() >= refuses {
				return true
			}
			trail.Note(outcome.NotRun, outcome.ReasonBackendRefused)
			trail.Progress.Left = patience
			if policy.Next(trail.Progress) != Repeat || !budget.Repeat(now, "s", GainWhole) {
				return false
			}
		}
	}
	inTime := 0
	for i := range requests {
		began := begin.Add(time.Duration(i) * gap)
		now := began
		for attempts := 0; attempts < 3; attempts++ {
			now = now.Add(trip)
			if serve(now) {
				work := 220 * math.Exp(0.8*rng.NormFloat64()-0.32)
				if now.Add(time.Duration(work)*time.Millisecond).Sub(began) <= target {
					inTime++
				}
				break
			}
			now = now.Add(comeBack(Refused{
				Left: began.Add(patience).Sub(now), Due: target - trip, Room: true, Lot: rng.Float64(),
			}))
		}
	}
	return float64(inTime) / requests
}

// Of the answers 0.837 are in time, and 0.533 where callers come back by the time that they
// have left.
func TestCallersComeBackInTimeWhereServersHaveRoom(t *testing.T) {
	byLeft := shedding(func(r Refused) time.Duration {
		r.Room = false
		return ComeBack(r)
	})
	byRoom := shedding(ComeBack)
	t.Logf("in time: %.3f by the time left, %.3f by the target", byLeft, byRoom)
	must.Greater(t, 0.78, byRoom)
	must.Greater(t, byLeft+0.25, byRoom)
}

// Where load is the reason callers stay away for as long as they can: a return by
// the target found the same load (worth 0.747 in place of 0.754 on a played day).
func TestCallersStayAwayFromLoad(t *testing.T) {
	r := Refused{Left: 3 * time.Second, Due: 800 * time.Millisecond, Lot: 0.5}
	must.Eq(t, 570*time.Millisecond, ComeBack(r))
	r.Room = true
	must.Eq(t, 100*time.Millisecond, ComeBack(r))
	r.Due = 0
	must.Eq(t, 570*time.Millisecond, ComeBack(r), must.Sprint("late already"))
	must.Eq(t, time.Millisecond, ComeBack(Refused{}))
}

// A caller that meets a node at its start gets three attempts: they reach beyond
// the slow starts, and the second is in time where the start is as usual.
func TestCallersComeBackToANodeThatStarts(t *testing.T) {
	up, waited := 10*time.Millisecond, time.Duration(0)
	for attempt, want := range []time.Duration{200 * time.Millisecond, 210 * time.Millisecond, 420 * time.Millisecond} {
		after := ComeBackToStart(up, 0.5)
		must.Eq(t, want, after, must.Sprint(attempt))
		up, waited = up+after, waited+after
	}
	must.Greater(t, 800*time.Millisecond, waited)
	must.Eq(t, 150*time.Millisecond, ComeBackToStart(0, 0))
	must.Eq(t, StartTime, ComeBackToStart(time.Hour, 0.5), must.Sprint("a node that has had no configuration for long"))
}
