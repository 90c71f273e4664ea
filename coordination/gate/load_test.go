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

// stream is a load of requests of one class at one gate.
type stream struct {
	work     model.Work
	takes    time.Duration // mean, spread over half of it to one and a half
	rate     float64       // requests a second
	deadline time.Duration
	// organisation and weight are whose requests these are; empty for nobody's.
	organisation string
	weight       float64

	asked, inTime, late, refused atomic.Int64
}

// play lets the streams press on a gate with so many slots for 20 s of virtual
// time, with Poisson arrivals.
func play(t *testing.T, slots int, streams ...*stream) {
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
					work := time.Duration((0.5 + rnd.Float64()) * float64(s.takes))
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

func (s *stream) request(g *Gate, work time.Duration) {
	began := time.Now()
	due, deadline := began.Add(s.work.Target), began.Add(s.deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	s.asked.Add(1)
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

func share(part, of *atomic.Int64) float64 { return float64(part.Load()) / float64(of.Load()) }

// Short calls of running requests press on a backend server that is asked for
// 1.4 times its slots by requests of six times their work. Refusing a call wastes
// the run of its caller. With waits of a sixth of the target alone 0.465 of the
// calls are refused, with four slots at least 0.097, and 0.027 where waits follow
// the work of a class.
func TestShortCallsPassNewRequestsUnderOverload(t *testing.T) {
	calls := &stream{work: model.Work{Kind: model.KindInteractive, Rank: 1, Target: 120 * time.Millisecond}, takes: 30 * time.Millisecond, rate: 60, deadline: 400 * time.Millisecond}
	fresh := &stream{work: model.Work{Kind: model.KindNonRepeatable, Rank: 1, Target: 500 * time.Millisecond}, takes: 180 * time.Millisecond, rate: 60, deadline: 1200 * time.Millisecond}
	play(t, 9, calls, fresh)
	t.Logf("calls: %d asked, %d in time, %d late, %d refused", calls.asked.Load(), calls.inTime.Load(), calls.late.Load(), calls.refused.Load())
	t.Logf("new: %d asked, %d in time, %d late, %d refused", fresh.asked.Load(), fresh.inTime.Load(), fresh.late.Load(), fresh.refused.Load())
	must.Less(t, 0.03, share(&calls.refused, &calls.asked))
	// Seven of the nine slots are left to new requests, for 39 of 60 a second.
	must.Greater(t, 0.55, share(&fresh.inTime, &fresh.asked))
	must.Less(t, 0.02, share(&fresh.late, &fresh.asked))
}

// What an operator ranks first is served first: with both classes pressing
// together at 1.7 times the slots, the first is served nearly whole.
func TestRankGoesFirstUnderOverload(t *testing.T) {
	first := &stream{work: model.Work{Kind: model.KindInteractive, Rank: 0, Target: 600 * time.Millisecond}, takes: 150 * time.Millisecond, rate: 30, deadline: time.Second}
	second := &stream{work: model.Work{Kind: model.KindNonRepeatable, Rank: 2, Target: 300 * time.Millisecond}, takes: 150 * time.Millisecond, rate: 60, deadline: time.Second}
	play(t, 8, first, second)
	must.Greater(t, 0.97, share(&first.inTime, &first.asked))
	must.Greater(t, 0.2, share(&second.inTime, &second.asked))
}

// A request that was told to be refused at once never waits first.
func TestRefusalForAFullQueueComesAtOnce(t *testing.T) {
	g := busy(t, 1) // a slot becomes free each 200 ms
	w := &Waiter{Request: Request{Work: model.WorkOf(model.KindInteractive), Deadline: start.Add(time.Hour), Due: start.Add(300 * time.Millisecond)}}
	_, reason := g.Acquire(w, start)
	must.Eq(t, outcome.ReasonQueueFull, reason)
	must.Eq(t, 0, g.Load().Queued)
}

// Calls pass requests that rank one higher and take five times as long: with
// strict ranks 0.760 of the calls are refused, with ranks weighed against the work
// 0.038, and each of them wastes a run of its caller.
func TestShortCallsPassLongerRequestsOfAHigherRank(t *testing.T) {
	calls := &stream{work: model.Work{Kind: model.KindInteractive, Rank: 1, Target: 120 * time.Millisecond}, takes: 30 * time.Millisecond, rate: 60, deadline: 400 * time.Millisecond}
	fresh := &stream{work: model.Work{Kind: model.KindNonRepeatable, Rank: 0, Target: 250 * time.Millisecond}, takes: 150 * time.Millisecond, rate: 90, deadline: 600 * time.Millisecond}
	play(t, 9, calls, fresh)
	t.Logf("calls: %d asked, %d refused; new: %d asked, %d in time", calls.asked.Load(), calls.refused.Load(), fresh.asked.Load(), fresh.inTime.Load())
	must.Less(t, 0.05, share(&calls.refused, &calls.asked))
	// 7.2 of the nine slots are left to new requests, for 48 of 90 a second.
	must.Greater(t, 0.45, share(&fresh.inTime, &fresh.asked))
}
