package attempt

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/gate"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// The simulation: eight gates of one service. Its callers wait for 1.5 s, want an answer
// within 0.6 s and retry once after a refusal. Requests take 200 ms on average.
const (
	simGates    = 8
	simSlots    = 11
	simWorkTime = 200 * time.Millisecond
	simPatience = 1500 * time.Millisecond
	simDuration = 40 * time.Second
	simCapacity = simGates * simSlots * float64(time.Second) / float64(simWorkTime)
	// simLoadTimeConstant is the time constant of an entry node's moving average of the load.
	simLoadTimeConstant = 2300 * time.Millisecond
)

var simWork = model.Work{Kind: model.KindInteractive, Rank: 1, Target: 600 * time.Millisecond}

// overloadSim is one run of the simulation.
type overloadSim struct {
	// offered returns the offered load at a time of the simulation, as a fraction of the
	// capacity.
	offered func(at time.Duration) float64
	// byLoad says that the Retry-After delay depends on the load.
	byLoad bool

	gates [simGates]*gate.Gate
	load  atomic.Uint64 // bits of the float64 moving average
	rand  *rand.Rand

	requests, inTime, late, refused atomic.Int64
}

func (s *overloadSim) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		s.rand = rand.New(rand.NewPCG(1, 1))
		for i := range s.gates {
			s.gates[i] = gate.New()
			s.gates[i].Update(gate.Limits{Slots: simSlots, Connections: simSlots, QueueLength: 4 * simSlots}, start)
		}
		go s.trackLoad(start)
		for time.Since(start) < simDuration {
			rate := s.offered(time.Since(start)) * simCapacity
			time.Sleep(time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second)))
			go s.caller(s.rand.ExpFloat64(), s.rand.Uint64())
		}
		time.Sleep(10 * time.Second)
	})
	t.Logf("delay by load %v: of %d requests %d in time, %d late, %d refused", s.byLoad, s.requests.Load(), s.inTime.Load(), s.late.Load(), s.refused.Load())
}

// trackLoad keeps the moving average of the load up to date.
func (s *overloadSim) trackLoad(start time.Time) {
	const step = 10 * time.Millisecond
	for time.Since(start) < simDuration {
		time.Sleep(step)
		n := 0
		for _, g := range s.gates {
			l := g.Load()
			n += l.Used + l.Queued
		}
		old := math.Float64frombits(s.load.Load())
		now := old + float64(step)/float64(simLoadTimeConstant)*(float64(n)/(simGates*simSlots)-old)
		s.load.Store(math.Float64bits(now))
	}
}

// caller sends a request, and retries once after a refusal.
func (s *overloadSim) caller(size float64, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	first := time.Now()
	due, deadline := first.Add(simWork.Target), first.Add(simPatience)
	s.requests.Add(1)
	served := s.send(rnd, size, due, deadline)
	if !served {
		r := Refused{Left: time.Until(deadline), Due: time.Until(due), Jitter: rnd.Float64()}
		if s.byLoad {
			r.Load = math.Float64frombits(s.load.Load())
		}
		time.Sleep(RetryAfter(r))
		served = s.send(rnd, size, due, deadline)
	}
	switch {
	case !served:
		s.refused.Add(1)
	case time.Now().After(due):
		s.late.Add(1)
	default:
		s.inTime.Add(1)
	}
}

// send sends a request to up to four gates, or to only one if the answer can only be late.
// It reports whether the request was served.
func (s *overloadSim) send(rnd *rand.Rand, size float64, due, deadline time.Time) bool {
	for i, n := range rnd.Perm(simGates)[:4] {
		if i > 0 && time.Now().After(due) {
			return false
		}
		time.Sleep(time.Millisecond)
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		reason := s.gates[n].Enter(ctx, gate.Request{Work: simWork, Deadline: deadline, Due: due}, time.Now)
		cancel()
		if reason == "" {
			took := time.Duration(size * float64(simWorkTime))
			time.Sleep(took)
			s.gates[n].Release(simWork, took, time.Now())
			return true
		}
	}
	return false
}

// While a service is overloaded for seconds, callers with the longest delay that they
// accept leave the slots to requests that are served in time. Bursts that pass within
// moments leave the delay unchanged.
func TestRetryAfterIsLongestUnderSustainedOverload(t *testing.T) {
	sustained := func(time.Duration) float64 { return 1.1 }
	wave := func(at time.Duration) float64 { return 0.8 * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/17)) }
	bursts := func(at time.Duration) float64 {
		if at%(2*time.Second) < 400*time.Millisecond {
			return 1.8
		}
		return 0.6
	}
	for name, c := range map[string]struct {
		offered func(time.Duration) float64
		minGain float64
	}{"lasting": {sustained, 0.03}, "wave": {wave, 0.01}, "moments": {bursts, -0.005}} {
		withoutLoad, withLoad := &overloadSim{offered: c.offered}, &overloadSim{offered: c.offered, byLoad: true}
		t.Log(name)
		withoutLoad.run(t)
		withLoad.run(t)
		gain := float64(withLoad.inTime.Load()-withoutLoad.inTime.Load()) / float64(withLoad.requests.Load())
		must.Greater(t, c.minGain, gain, must.Sprint(name))
	}
}
