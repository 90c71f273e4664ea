package gate

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

var start = time.Unix(1000, 0)

const settledOK = "slot"

// waiter returns a waiter that appends its name and the result of its wait to log.
func waiter(kind model.ClassKind, deadline time.Duration, name string, log *[]string) *Waiter {
	return &Waiter{Request: Request{Work: model.WorkOf(kind), Deadline: start.Add(deadline)}, Settle: func(r outcome.Reason) {
		if r == "" {
			r = settledOK
		}
		*log = append(*log, name+" "+string(r))
	}}
}

// fullGate returns a gate whose usable slots are all in use.
func fullGate(t *testing.T, l Limits) *Gate {
	t.Helper()
	g := New()
	g.Update(l, start)
	for range l.usable(start) {
		ok, _ := g.Acquire(&Waiter{Request: Request{Work: model.WorkOf(model.KindInteractive), Deadline: start.Add(time.Hour)}}, start)
		must.True(t, ok)
	}
	return g
}

func TestMostImportantGoesFirst(t *testing.T) {
	g := fullGate(t, Limits{Slots: 1, Connections: 1, QueueLength: 4})
	var log []string
	for _, w := range []*Waiter{
		waiter(model.KindEventual, time.Hour, "eventual", &log),
		waiter(model.KindBulk, time.Hour, "bulk", &log),
		waiter(model.KindInteractive, time.Hour, "first", &log),
		waiter(model.KindInteractive, time.Hour, "second", &log),
		waiter(model.KindNonRepeatable, time.Hour, "booking", &log), // the least important is shed
	} {
		ok, reason := g.Acquire(w, start)
		must.False(t, ok)
		must.Eq(t, "", reason)
	}
	_, reason := g.Acquire(waiter(model.KindBulk, time.Hour, "late", &log), start)
	must.Eq(t, outcome.ReasonQueueFull, reason)
	for range 4 {
		g.Release(model.WorkOf(model.KindInteractive), 0, start)
	}
	must.Eq(t, []string{"eventual shed", "booking slot", "first slot", "second slot", "bulk slot"}, log)
}

// Less important requests are delayed, not starved.
func TestOldestGoesFirstPeriodically(t *testing.T) {
	g := fullGate(t, Limits{Slots: 1, Connections: 1, QueueLength: 20})
	var log []string
	_, _ = g.Acquire(waiter(model.KindEventual, time.Hour, "eventual", &log), start)
	for range 10 {
		_, _ = g.Acquire(waiter(model.KindInteractive, time.Hour, "screen", &log), start)
	}
	for range oldestFirstEvery {
		g.Release(model.WorkOf(model.KindInteractive), 0, start)
	}
	must.Eq(t, "eventual slot", log[oldestFirstEvery-1])
}

func TestUsableSlots(t *testing.T) {
	ramp := Limits{Slots: 10, Connections: 20, SlowStart: 10 * time.Second, Since: start}
	cases := []struct {
		name   string
		limits Limits
		after  time.Duration
		want   int
	}{
		{"all", Limits{Slots: 10, Connections: 20}, 0, 10},
		{"few connections", Limits{Slots: 10, Connections: 4}, 0, 4},
		{"older system's slots reserved", Limits{Slots: 10, Connections: 20, OlderSlots: 3}, 0, 7},
		{"at least one", Limits{Slots: 2, Connections: 20, OlderSlots: 3}, 0, 1},
		{"cold", ramp, 0, 1},
		{"half warm", ramp, 5 * time.Second, 5},
		{"warm", ramp, 10 * time.Second, 10},
		{"clock stepped back", ramp, -time.Second, 1},
	}
	for _, tc := range cases {
		must.Eq(t, tc.want, tc.limits.usable(start.Add(tc.after)), must.Sprint(tc.name))
	}
}

func TestDrainRefusesAtOnce(t *testing.T) {
	l := Limits{Slots: 1, Connections: 1, QueueLength: 1}
	g := fullGate(t, l)
	var log []string
	_, _ = g.Acquire(waiter(model.KindBulk, time.Hour, "waits", &log), start)
	l.Draining = true
	g.Update(l, start)
	must.Eq(t, []string{"waits draining"}, log)
	_, reason := g.Acquire(waiter(model.KindNonRepeatable, time.Hour, "new", &log), start)
	must.Eq(t, outcome.ReasonDraining, reason)
	must.Eq(t, Load{Used: 1, Slots: 1}, g.Load()) // the running request keeps its slot
}

func TestRequestsThatMissTheirDeadlineTakeNoSlot(t *testing.T) {
	g := New()
	g.Update(Limits{Slots: 1, Connections: 1, QueueLength: 9}, start)
	var log []string
	for range 100 {
		ok, _ := g.Acquire(waiter(model.KindBulk, time.Hour, "", &log), start)
		must.True(t, ok)
		g.Release(model.WorkOf(model.KindBulk), time.Second, start)
	}
	_, reason := g.Acquire(waiter(model.KindBulk, 100*time.Millisecond, "", &log), start)
	must.Eq(t, outcome.ReasonDeadline, reason)
	// The service times of other workloads don't count, and the estimate decays
	// while no request completes.
	ok, _ := g.Acquire(waiter(model.KindInteractive, 100*time.Millisecond, "", &log), start)
	must.True(t, ok)
	g.Release(model.WorkOf(model.KindInteractive), 0, start)
	for range 30 {
		g.Tick(start)
	}
	ok, _ = g.Acquire(waiter(model.KindBulk, 100*time.Millisecond, "", &log), start)
	must.True(t, ok)
	// A waiter past its deadline is refused when a slot becomes free.
	_, _ = g.Acquire(waiter(model.KindBulk, time.Second, "waits", &log), start)
	g.Release(model.WorkOf(model.KindBulk), 0, start.Add(2*time.Second))
	must.Eq(t, []string{"waits deadline"}, log)
	must.Eq(t, Load{Slots: 1}, g.Load())
}

// In any sequence of calls, no more slots are used than there are, and each
// request is settled once.
func TestSlotsAndSettlements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New()
		l := Limits{Slots: 3, Connections: 9, QueueLength: 3}
		g.Update(l, start)
		holding, waiting := 0, map[*Waiter]bool{}
		kinds := []model.ClassKind{model.KindNonRepeatable, model.KindInteractive, model.KindBulk, model.KindEventual}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				w := &Waiter{Request: Request{Work: model.WorkOf(rapid.SampledFrom(kinds).Draw(t, "kind")), Deadline: start.Add(time.Hour)}}
				w.Settle = func(r outcome.Reason) {
					must.True(t, waiting[w], must.Sprint("settled twice or while not queued"))
					delete(waiting, w)
					if r == "" {
						holding++
					}
				}
				waiting[w] = true
				if ok, reason := g.Acquire(w, start); ok || reason != "" {
					delete(waiting, w)
					if ok {
						holding++
					}
				}
			case 2:
				if holding > 0 {
					holding--
					g.Release(model.WorkOf(model.KindBulk), 0, start)
				}
			case 3:
				for w := range waiting {
					must.True(t, g.Cancel(w))
					delete(waiting, w)
					break
				}
			case 4:
				l.Slots = rapid.IntRange(1, 5).Draw(t, "slots")
				l.Draining = rapid.IntRange(0, 4).Draw(t, "drain") == 0
				before := holding
				g.Update(l, start)
				must.True(t, holding == before || holding <= l.Slots)
			}
			must.Eq(t, Load{Used: holding, Slots: l.Slots, Queued: len(waiting)}, g.Load())
			must.True(t, len(waiting) == 0 || holding >= l.Slots, must.Sprint("a slot is free while a request is queued"))
		}
	})
}

// Concurrent requests never share a slot, and each is settled.
func TestConcurrentRequests(t *testing.T) {
	const slots = 4
	g := New()
	g.Update(Limits{Slots: slots, Connections: slots, QueueLength: 64}, start)
	var running, done atomic.Int64
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			for range 200 {
				settled := make(chan outcome.Reason, 1)
				w := &Waiter{Request: Request{Work: model.WorkOf(model.KindBulk), Deadline: start.Add(time.Hour)}, Settle: func(r outcome.Reason) { settled <- r }}
				ok, reason := g.Acquire(w, start)
				if !ok && reason == "" {
					if rand.IntN(8) == 0 && g.Cancel(w) {
						continue
					}
					reason = <-settled
				}
				must.Eq(t, "", reason)
				must.LessEq(t, slots, running.Add(1))
				running.Add(-1)
				done.Add(1)
				g.Release(w.Request.Work, 0, start)
			}
		})
	}
	wg.Wait()
	must.Eq(t, Load{Slots: slots}, g.Load())
	must.Positive(t, done.Load())
}
