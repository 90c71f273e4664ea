package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// coldLoad sends requests to the gate of a cold backend server and records their outcomes.
type coldLoad struct {
	gate *Gate
	// admitted are the times at which requests got a slot.
	admitted []time.Time
	refused  int
}

// send requests slots at a rate for a time. Each is held for a random time of takes on average.
func (l *coldLoad) send(perSecond float64, takes, lasts time.Duration) {
	rnd := rand.New(rand.NewPCG(3, 7))
	work := model.Work{Kind: model.KindInteractive, Target: 400 * time.Millisecond}
	results := make(chan time.Time, 1<<14)
	asked := 0
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(lasts); time.Now().Before(end); asked++ {
		time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
		held := time.Duration(rnd.Float64() * 2 * float64(takes))
		running.Go(func() {
			due := time.Now().Add(work.Target)
			r := Request{Work: work, Due: due, Deadline: due.Add(time.Second)}
			if l.gate.Enter(context.Background(), r, time.Now) != "" {
				results <- time.Time{}
				return
			}
			results <- time.Now()
			time.Sleep(held)
			l.gate.Release(work, held, time.Now())
		})
	}
	for range asked {
		if at := <-results; at.IsZero() {
			l.refused++
		} else {
			l.admitted = append(l.admitted, at)
		}
	}
}

// maxPerSecond returns the largest number of admissions in any second.
func (l *coldLoad) maxPerSecond() int {
	most := 0
	for i, from := range l.admitted {
		n := 0
		for _, at := range l.admitted[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// playCold calls play with the gate of a backend server that is cold for the given time.
func playCold(t *testing.T, slots int, cold time.Duration, play func(*coldLoad)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Second)
		}()
		l := &coldLoad{gate: New()}
		limits := Limits{Slots: slots, Connections: slots, QueueLength: 4 * slots,
			Cold: ColdLimits{Until: time.Now().Add(cold), PerSecond: 15, Burst: 7.75}}
		l.gate.Update(limits, time.Now())
		go func() {
			for ctx.Err() == nil {
				time.Sleep(100 * time.Millisecond)
				l.gate.Update(limits, time.Now())
				l.gate.Tick(time.Now())
			}
		}()
		play(l)
	})
}

// When a zone comes back, its cold backend servers are offered many times their capacity. Short
// requests would exceed the rate in spite of the few slots.
func TestColdBackendServerGetsItsRateInAnySecond(t *testing.T) {
	for name, takes := range map[string]time.Duration{"short": 5 * time.Millisecond, "usual": 90 * time.Millisecond, "long": 400 * time.Millisecond} {
		playCold(t, 6, time.Hour, func(l *coldLoad) {
			l.send(120, takes, 10*time.Second)
			must.LessEq(t, 22, l.maxPerSecond(), must.Sprint(name))
			must.GreaterEq(t, 100, len(l.admitted), must.Sprintf("%s: the capacity is used", name))
			must.GreaterEq(t, 900, l.refused, must.Sprintf("%s: the others are refused early", name))
		})
	}
}

// A load below the rate is served as if there were no limit.
func TestColdBackendServerServesALoadBelowItsRate(t *testing.T) {
	playCold(t, 6, time.Hour, func(l *coldLoad) {
		l.send(8, 90*time.Millisecond, 20*time.Second)
		must.LessEq(t, len(l.admitted)/20, l.refused)
	})
}

// All entry nodes send to a backend server as soon as it is warm, so its slots are given back
// gradually.
func TestWarmBackendServerGetsItsSlotsGradually(t *testing.T) {
	playCold(t, 10, 2*time.Second, func(l *coldLoad) {
		at := func(after time.Duration) int {
			time.Sleep(after)
			return l.gate.Load().Slots
		}
		must.Eq(t, 3, at(1500*time.Millisecond), must.Sprint("twice the concurrency of 15 per second at 100 ms"))
		must.Between(t, 5, at(time.Second), 8)
		must.Eq(t, 10, at(time.Second))
		l.send(60, 50*time.Millisecond, 5*time.Second)
		must.LessEq(t, len(l.admitted)/20, l.refused, must.Sprint("the limit no longer applies"))
	})
}

// A restarted process doesn't know what its predecessor has admitted within the last second. The
// requests of both together must stay within the bound.
func TestRestartedGateStartsWithoutABurst(t *testing.T) {
	playCold(t, 6, time.Hour, func(l *coldLoad) {
		began, first := time.Now(), 0
		l.send(120, 5*time.Millisecond, time.Second)
		for _, at := range l.admitted {
			if at.Sub(began) < time.Second {
				first++
			}
		}
		must.LessEq(t, 15, first, must.Sprint("the rate without the burst"))
	})
}
