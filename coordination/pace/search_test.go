package pace

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// simulation simulates requests for large responses to the hosts of one availability
// zone, on virtual time. Hosts have links of 10 Mbit/s. Responses have 90 KB and need
// 180 ms of work on average, and are due after a second. A caller that is refused
// retries twice, after a random part of what is left of its 6 s.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand
	shapers  []*Shaper
	events   events
	order    int
	now      time.Time
	tries    int
	outcomes map[string]int
}

const (
	simulatedHosts    = 10
	simulatedTarget   = time.Second
	simulatedDeadline = 6 * time.Second
	simulatedRate     = 0.85 * 10e6 / 8 // bytes per second
)

// event is a function that is called at a time; events at the same time are called in
// the order in which they were scheduled.
type event struct {
	at    time.Time
	order int
	do    func()
}

// events is a heap of events.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after schedules a call.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.order++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.order, do})
}

// lognormal returns a lognormally distributed random value with the given mean. spread
// is the standard deviation of its logarithm.
func (sim *simulation) lognormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*sim.rng.NormFloat64()-spread*spread/2)
}

// linkPolicy tries hosts for a request and returns the reservation at the one that
// admits it; nil if none does. left is the time until the response is due.
type linkPolicy func(sim *simulation, left time.Duration) *Reservation

// fixedWait tries four hosts, with a wait of at most a sixth of the target.
func fixedWait(sim *simulation, _ time.Duration) *Reservation {
	for _, i := range sim.rng.Perm(simulatedHosts)[:4] {
		sim.tries++
		if r, _, ok := sim.shapers[i].Reserve(sim.now, simulatedTarget/6); ok {
			return r
		}
	}
	return nil
}

// withSearch tries hosts as Search selects them, at most four times.
func withSearch(sim *simulation, left time.Duration) *Reservation {
	var s Search
	order := sim.rng.Perm(simulatedHosts)
	for try := range 4 {
		i := order[try]
		if !s.TryAnother() {
			if best, ok := s.Best(); ok {
				_, err := fmt.Sscan(string(best), &i)
				must.NoError(sim.t, err)
			}
		}
		sim.tries++
		r, backlog, ok := sim.shapers[i].Reserve(sim.now, s.Wait(left))
		if ok {
			return r
		}
		s.Refused(model.NodeID(fmt.Sprint(i)), backlog)
	}
	return nil
}

// request makes one attempt of a caller that sent its first attempt at began.
func (sim *simulation) request(choose linkPolicy, began time.Time, retries int) {
	sent := sim.now
	r := choose(sim, simulatedTarget)
	if r == nil {
		sim.refused(choose, began, retries)
		return
	}
	size := min(sim.lognormal(90e3, 0.6), 540e3)
	sim.after(time.Duration(sim.lognormal(float64(180*time.Millisecond), 0.8)), func() {
		r.SetSize(size)
		wait := r.Piece(sim.now, int(size)) + r.shaper.sendTime(size)
		sim.after(wait, func() { sim.answered(sim.now.Sub(began), sim.now.Sub(sent)) })
	})
}

// refused schedules a retry, or counts the request as refused if none is left.
func (sim *simulation) refused(choose linkPolicy, began time.Time, retries int) {
	if retries == 0 {
		sim.outcomes["refused"]++
		return
	}
	left := began.Add(simulatedDeadline).Sub(sim.now)
	sim.after(time.Duration((0.08+0.22*sim.rng.Float64())*float64(left)), func() { sim.request(choose, began, retries-1) })
}

// answered counts a response. took is the time since the caller's first attempt, and
// lastAttempt the time since its last.
func (sim *simulation) answered(took, lastAttempt time.Duration) {
	switch {
	case took <= simulatedTarget:
		sim.outcomes["in time"]++
	case lastAttempt <= simulatedTarget:
		sim.outcomes["in time after a retry"]++
	default:
		sim.outcomes["late"]++
	}
}

// simulate runs 20,000 requests at a load, as a part of the links' rate, and returns the
// part of them that was answered in time.
func simulate(t *testing.T, choose linkPolicy, load float64) (inTime float64, sim *simulation) {
	sim = &simulation{t: t, rng: rand.New(rand.NewPCG(1, 2)), now: begin, outcomes: make(map[string]int)}
	for range simulatedHosts {
		sim.shapers = append(sim.shapers, New(Config{BytesPerSecond: simulatedRate, InitialSize: 128 << 10, SizeGain: 0.2}))
	}
	const requests = 20000
	gap := 90e3 / (load * simulatedHosts * simulatedRate) * float64(time.Second)
	at := time.Duration(0)
	for range requests {
		at += time.Duration(sim.rng.ExpFloat64() * gap)
		sim.after(at, func() { sim.request(choose, sim.now, 2) })
	}
	for sim.events.Len() > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	return float64(sim.outcomes["in time"]) / requests, sim
}

// The links of a large site are used to 0.7 and more. At such a load, a fixed wait of a
// sixth of the target refuses a tenth of the attempts, whose responses are then late.
func TestSearchServesInTime(t *testing.T) {
	for _, tc := range []struct{ load, least float64 }{{0.6, 0.98}, {0.75, 0.98}, {0.85, 0.97}, {1.2, 0.42}} {
		fixed, fixedSim := simulate(t, fixedWait, tc.load)
		searched, searchSim := simulate(t, withSearch, tc.load)
		t.Logf("load %.2f: in time %.3f with a fixed wait (%v, %d tries), %.3f with a search (%v, %d tries)",
			tc.load, fixed, fixedSim.outcomes, fixedSim.tries, searched, searchSim.outcomes, searchSim.tries)
		must.GreaterEq(t, tc.least, searched)
		must.Greater(t, fixed, searched)
	}
}
