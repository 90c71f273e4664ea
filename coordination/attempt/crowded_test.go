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

// The crowd model: eight gates with the callers of one service, who wait for 1.5 s, want an
// answer within 0.6 s and come back once. Requests take 200 ms on average.
const (
	crowdGates    = 8
	crowdSlots    = 11
	crowdTakes    = 200 * time.Millisecond
	crowdPatience = 1500 * time.Millisecond
	crowdRun      = 40 * time.Second
	crowdCapacity = crowdGates * crowdSlots * float64(time.Second) / float64(crowdTakes)
	// crowdMemory is over how long an entry node's average of the load goes back.
	crowdMemory = 2300 * time.Millisecond
)

var crowdWork = model.Work{Kind: model.KindInteractive, Rank: 1, Target: 600 * time.Millisecond}

// crowd is one play.
type crowd struct {
	// asks is the load at a time of the play, as a part of the capacity.
	asks func(at time.Duration) float64
	// told says that callers are told when to come back by the load.
	told bool

	gates [crowdGates]*gate.Gate
	load  atomic.Uint64 // float64
	rand  *rand.Rand

	asked, inTime, late, refused atomic.Int64
}

func (c *crowd) play(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		c.rand = rand.New(rand.NewPCG(1, 1))
		for i := range c.gates {
			c.gates[i] = gate.New()
			c.gates[i].Update(gate.Limits{Slots: crowdSlots, Connections: crowdSlots, QueueLength: 4 * crowdSlots}, began)
		}
		go c.watch(began)
		for time.Since(began) < crowdRun {
			rate := c.asks(time.Since(began)) * crowdCapacity
			time.Sleep(time.Duration(c.rand.ExpFloat64() / rate * float64(time.Second)))
			go c.caller(c.rand.ExpFloat64(), c.rand.Uint64())
		}
		time.Sleep(10 * time.Second)
	})
	t.Logf("told %v: of %d %d in time, %d late, %d refused", c.told, c.asked.Load(), c.inTime.Load(), c.late.Load(), c.refused.Load())
}

// watch averages the load.
func (c *crowd) watch(began time.Time) {
	const step = 10 * time.Millisecond
	for time.Since(began) < crowdRun {
		time.Sleep(step)
		n := 0
		for _, g := range c.gates {
			l := g.Load()
			n += l.Used + l.Queued
		}
		old := math.Float64frombits(c.load.Load())
		now := old + float64(step)/float64(crowdMemory)*(float64(n)/(crowdGates*crowdSlots)-old)
		c.load.Store(math.Float64bits(now))
	}
}

// caller asks, and comes back once.
func (c *crowd) caller(size float64, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	first := time.Now()
	due, deadline := first.Add(crowdWork.Target), first.Add(crowdPatience)
	c.asked.Add(1)
	served := c.ask(rnd, size, due, deadline)
	if !served {
		r := Refused{Left: time.Until(deadline), Due: time.Until(due), Lot: rnd.Float64()}
		if c.told {
			r.Load = math.Float64frombits(c.load.Load())
		}
		time.Sleep(ComeBack(r))
		served = c.ask(rnd, size, due, deadline)
	}
	switch {
	case !served:
		c.refused.Add(1)
	case time.Now().After(due):
		c.late.Add(1)
	default:
		c.inTime.Add(1)
	}
}

// ask sends a request to up to four gates, and to one where it can only be late.
func (c *crowd) ask(rnd *rand.Rand, size float64, due, deadline time.Time) bool {
	for i, n := range rnd.Perm(crowdGates)[:4] {
		if i > 0 && time.Now().After(due) {
			return false
		}
		time.Sleep(time.Millisecond)
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		reason := c.gates[n].Enter(ctx, gate.Request{Work: crowdWork, Deadline: deadline, Due: due}, time.Now)
		cancel()
		if reason == "" {
			took := time.Duration(size * float64(crowdTakes))
			time.Sleep(took)
			c.gates[n].Release(crowdWork, took, time.Now())
			return true
		}
	}
	return false
}

// Where there has been no room for seconds, callers that stay away for as long as they
// would leave the slots to requests that are served in time. Where a crowd passes within
// moments, they come back as before.
func TestCallersStayAwayWhereThereIsNoRoomForSeconds(t *testing.T) {
	lasting := func(time.Duration) float64 { return 1.1 }
	wave := func(at time.Duration) float64 { return 0.8 * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/17)) }
	moments := func(at time.Duration) float64 {
		if at%(2*time.Second) < 400*time.Millisecond {
			return 1.8
		}
		return 0.6
	}
	for name, c := range map[string]struct {
		asks  func(time.Duration) float64
		gains float64
	}{"lasting": {lasting, 0.03}, "wave": {wave, 0.01}, "moments": {moments, -0.005}} {
		before, now := &crowd{asks: c.asks}, &crowd{asks: c.asks, told: true}
		t.Log(name)
		before.play(t)
		now.play(t)
		gain := float64(now.inTime.Load()-before.inTime.Load()) / float64(now.asked.Load())
		must.Greater(t, c.gains, gain, must.Sprint(name))
	}
}
