package gate

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// stream is a stream of requests of one workload to a gate, with the counts of their outcomes.
type stream struct {
	work        model.Work
	serviceTime time.Duration // mean; uniform from half of it to one and a half times it
	rate        float64       // requests per second
	deadline    time.Duration
	// organisation is the organisation of the requests, which has the weight; empty for none.
	organisation string
	weight       float64

	sent, inTime, late, refused atomic.Int64
}

// simulate sends the streams to a gate with a number of slots for 20 s of virtual
// time, with Poisson arrivals.
func simulate(t *testing.T, slots int, streams ...*stream) {
	synctest.Test(t, func(t *testing.T) {
		g := New()
		g.Update(Limits{Slots: slots, Connections: slots, QueueLength: 4 * slots}, time.Now())
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		for i, s := range streams {
			rnd := rand.New(rand.NewPCG(uint64(i), 7))
			go func() {
				for ctx.Err() == nil {
					time.Sleep(time.Duration(rnd.ExpFloat64() / s.rate * float64(time.Second)))
					work := time.Duration((0.5 + rnd.Float64()) * float64(s.serviceTime))
					go s.request(g, work)
				}
			}()
		}
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			g.Tick(time.Now())
		}
		time.Sleep(10 * time.Second)
	})
}

// request sends one request, which holds its slot for the time work.
func (s *stream) request(g *Gate, work time.Duration) {
	began := time.Now()
	due, deadline := began.Add(s.work.Target), began.Add(s.deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	s.sent.Add(1)
	if reason := g.Enter(ctx, Request{Work: s.work, Deadline: deadline, Due: due, Organisation: s.organisation, Weight: s.weight}, time.Now); reason != "" {
		s.refused.Add(1)
		return
	}
	time.Sleep(work)
	g.Release(s.work, work, time.Now())
	if time.Now().After(due) {
		s.late.Add(1)
		return
	}
	s.inTime.Add(1)
}

func fraction(part, of *atomic.Int64) float64 { return float64(part.Load()) / float64(of.Load()) }

// Short calls that running requests make compete with new requests of six times
// their service time, which alone are 1.2 times the capacity (1.4 with the calls).
// Refusing a call wastes the run of its caller. 0.465 of the calls are refused if
// waits are only bounded to a sixth of the target, 0.097 with a bound of at least
// four slot releases, and 0.027 if the bound also depends on the workload's
// service time.
func TestShortCallsPassNewRequestsUnderOverload(t *testing.T) {
	calls := &stream{work: model.Work{Kind: model.KindInteractive, Rank: 1, Target: 120 * time.Millisecond}, serviceTime: 30 * time.Millisecond, rate: 60, deadline: 400 * time.Millisecond}
	longer := &stream{work: model.Work{Kind: model.KindNonRepeatable, Rank: 1, Target: 500 * time.Millisecond}, serviceTime: 180 * time.Millisecond, rate: 60, deadline: 1200 * time.Millisecond}
	simulate(t, 9, calls, longer)
	t.Logf("calls: %d sent, %d in time, %d late, %d refused", calls.sent.Load(), calls.inTime.Load(), calls.late.Load(), calls.refused.Load())
	t.Logf("new: %d sent, %d in time, %d late, %d refused", longer.sent.Load(), longer.inTime.Load(), longer.late.Load(), longer.refused.Load())
	must.Less(t, 0.03, fraction(&calls.refused, &calls.sent))
	// Seven of the nine slots are left to new requests, enough for 39 of 60 per second.
	must.Greater(t, 0.55, fraction(&longer.inTime, &longer.sent))
	must.Less(t, 0.02, fraction(&longer.late, &longer.sent))
}

// The workload that an operator ranks first is served first: when two workloads
// together need 1.7 times the slots, the first is served almost completely.
func TestRankGoesFirstUnderOverload(t *testing.T) {
	first := &stream{work: model.Work{Kind: model.KindInteractive, Rank: 0, Target: 600 * time.Millisecond}, serviceTime: 150 * time.Millisecond, rate: 30, deadline: time.Second}
	second := &stream{work: model.Work{Kind: model.KindNonRepeatable, Rank: 2, Target: 300 * time.Millisecond}, serviceTime: 150 * time.Millisecond, rate: 60, deadline: time.Second}
	simulate(t, 8, first, second)
	must.Greater(t, 0.97, fraction(&first.inTime, &first.sent))
	must.Greater(t, 0.2, fraction(&second.inTime, &second.sent))
}

// A request that wouldn't get a slot by its wait bound is refused at once, without
// being queued.
func TestRefusalForAFullQueueComesAtOnce(t *testing.T) {
	g := busyGate(t, 1) // a slot becomes free every 200 ms
	w := &Waiter{Request: Request{Work: model.WorkOf(model.KindInteractive), Deadline: start.Add(time.Hour), Due: start.Add(300 * time.Millisecond)}}
	_, reason := g.Acquire(w, start)
	must.Eq(t, outcome.ReasonQueueFull, reason)
	must.Eq(t, 0, g.Load().Queued)
}

// Short calls pass requests that rank one higher and take five times as long. With
// strict ranks 0.760 of the calls are refused, with ranks weighed against the
// service time 0.038; each refusal wastes a run of the caller.
func TestShortCallsPassLongerRequestsOfAHigherRank(t *testing.T) {
	calls := &stream{work: model.Work{Kind: model.KindInteractive, Rank: 1, Target: 120 * time.Millisecond}, serviceTime: 30 * time.Millisecond, rate: 60, deadline: 400 * time.Millisecond}
	longer := &stream{work: model.Work{Kind: model.KindNonRepeatable, Rank: 0, Target: 250 * time.Millisecond}, serviceTime: 150 * time.Millisecond, rate: 90, deadline: 600 * time.Millisecond}
	simulate(t, 9, calls, longer)
	t.Logf("calls: %d sent, %d refused; new: %d sent, %d in time", calls.sent.Load(), calls.refused.Load(), longer.sent.Load(), longer.inTime.Load())
	must.Less(t, 0.05, fraction(&calls.refused, &calls.sent))
	// 7.2 of the nine slots are left to the longer requests, enough for 48 of 90 per second.
	must.Greater(t, 0.45, fraction(&longer.inTime, &longer.sent))
}
