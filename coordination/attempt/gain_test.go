package attempt

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// runsAnswered simulates runs with two nested calls each to a service that refuses 0.55 of
// its requests, and returns the number of runs with both calls answered. Retries are
// granted by gain, or else first come, first served.
func runsAnswered(byGain bool) (answered int) {
	const (
		runs    = 4000
		refused = 0.55
	)
	rng := rand.New(rand.NewPCG(1, 1))
	b := NewBudget(config())
	groups := NewCallGroups()
	for i := range runs {
		now := begin.Add(time.Duration(i) * 10 * time.Millisecond)
		var calls [2]*Member
		for c := range calls {
			b.Request(now, "called")
			calls[c] = groups.Join(now, "called", now.Add(time.Second))
			if rng.Float64() < refused {
				calls[c].Failing()
			}
		}
		served := 0
		for _, m := range calls {
			ok := !m.failing
			for attempts := 1; !ok && attempts < 3; attempts++ {
				_, failing := m.Others()
				gain := GainOf(failing)
				if !byGain {
					gain = GainWhole
				}
				if !b.Repeat(now, "called", gain) {
					break
				}
				ok = rng.Float64() >= refused
			}
			m.Leave(ok)
			if !ok {
				break // the run fails, and its other call with it
			}
			served++
		}
		if served == len(calls) {
			answered++
		}
	}
	return answered
}

func TestMoreRunsAreAnsweredWhenRetriesAreGrantedByGain(t *testing.T) {
	unordered, byGain := runsAnswered(false), runsAnswered(true)
	t.Log("runs answered:", unordered, "with retries first come, first served,", byGain, "by gain")
	must.Greater(t, unordered, byGain)
}
