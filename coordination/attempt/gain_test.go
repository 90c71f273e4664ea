package attempt

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// runsAnswered plays runs that make two calls each to a service that refuses 0.55 of what
// it gets, and returns how many had both answered. Repeats are granted by what they gain,
// or to whoever asks first.
func runsAnswered(byGain bool) (answered int) {
	const (
		runs    = 4000
		refused = 0.55
	)
	rng := rand.New(rand.NewPCG(1, 1))
	b := NewBudget(config())
	to := NewTogether()
	for i := range runs {
		now := begin.Add(time.Duration(i) * 10 * time.Millisecond)
		var calls [2]*Member
		for c := range calls {
			b.Request(now, "called")
			calls[c] = to.Join(now, "called", now.Add(time.Second))
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
				break // the run fails, and the other call with it
			}
			served++
		}
		if served == len(calls) {
			answered++
		}
	}
	return answered
}

func TestMoreRunsAreAnsweredWhereRepeatsGoWhereTheyAreEnough(t *testing.T) {
	first, byGain := runsAnswered(false), runsAnswered(true)
	t.Log("runs answered:", first, "where the first to ask gets a repeat,", byGain, "by gain")
	must.Greater(t, first, byGain)
}
