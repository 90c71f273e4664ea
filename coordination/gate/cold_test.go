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

// sendRequests sends requests at a rate for a duration. Each holds its slot for a random time with
// the mean serviceTime.
func (l *coldLoad) sendRequests(perSecond float64, serviceTime, duration time.Duration) {
	rnd := rand.New(rand.NewPCG(3, 7))
	work := model.Work{Kind: model.KindInteractive, Target: 400 * time.Millisecond}
	results := make(chan time.Time, 1<<14)
	sent := 0
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(duration); time.Now().Before(end); sent++ {
		time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
		held := time.Duration(rnd.Float64() * 2 * float64(serviceTime))
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
	for range sent {
		if at := <-results; at.IsZero() {
			l.refused++
		} else {
			l.admitted = append(l.admitted, at)
		}
	}
}

// maxPerSecond returns the largest number of admissions in any second.
func (l *coldLoad) maxPerSecond() int {
	highest := 0
	for i, from := range l.admitted {
		n := 0
		for _, at := range l.admitted[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// simulateCold calls run, on virtual time, with the gate of a backend server that is cold for the
// given time.
func simulateCold(t *testing.T, slots int, cold time.Duration, run func(*coldLoad)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Second)
		}()
		l := &coldLoad{gate: New()}
		limits := Limits{Slots: slots, Connections: slots, QueueLength: 4 * slots,
			Cold: RateLimit{Until: time.Now().Add(cold), PerSecond: 15, Burst: 7.75}}
		l.gate.Update(limits, time.Now())
		go func() {
			for ctx.Err() == nil {
				time.Sleep(100 * time.Millisecond)
				l.gate.Update(limits, time.Now())
				l.gate.Tick(time.Now())
			}
		}()
		run(l)
	})
}

// When an availability zone recovers, its cold backend servers are offered many times their
// capacity. The bound on the slots alone wouldn't keep short requests within the rate.
func TestColdBackendServerGetsItsRateInAnySecond(t *testing.T) {
	for name, serviceTime := range map[string]time.Duration{"short": 5 * time.Millisecond, "usual": 90 * time.Millisecond, "long": 400 * time.Millisecond} {
		simulateCold(t, 6, time.Hour, func(l *coldLoad) {
			l.sendRequests(120, serviceTime, 10*time.Second)
			must.LessEq(t, 22, l.maxPerSecond(), must.Sprint(name))
			must.GreaterEq(t, 100, len(l.admitted), must.Sprintf("%s: the capacity should be used", name))
			must.GreaterEq(t, 900, l.refused, must.Sprintf("%s: the other requests should be refused early", name))
		})
	}
}

// A load below the rate is served as if there were no limit.
func TestColdBackendServerServesALoadBelowItsRate(t *testing.T) {
	simulateCold(t, 6, time.Hour, func(l *coldLoad) {
		l.sendRequests(8, 90*time.Millisecond, 20*time.Second)
		must.LessEq(t, len(l.admitted)/20, l.refused)
	})
}

// All entry nodes send to a backend server as soon as it is warm, so its usable slots grow
// gradually.
func TestWarmBackendServerGetsItsSlotsGradually(t *testing.T) {
	simulateCold(t, 10, 2*time.Second, func(l *coldLoad) {
		at := func(after time.Duration) int {
			time.Sleep(after)
			return l.gate.Load().Slots
		}
		must.Eq(t, 3, at(1500*time.Millisecond), must.Sprint("twice the concurrency of 15 per second at 100 ms"))
		must.Between(t, 5, at(time.Second), 8)
		must.Eq(t, 10, at(time.Second))
		l.sendRequests(60, 50*time.Millisecond, 5*time.Second)
		must.LessEq(t, len(l.admitted)/20, l.refused, must.Sprint("the limit should no longer apply"))
	})
}

// A restarted node process has no record of the requests that its predecessor admitted within the
// last second. The requests admitted by both must stay within the limit.
func TestRestartedGateStartsWithoutABurst(t *testing.T) {
	simulateCold(t, 6, time.Hour, func(l *coldLoad) {
		began, first := time.Now(), 0
		l.sendRequests(120, 5*time.Millisecond, time.Second)
		for _, at := range l.admitted {
			if at.Sub(began) < time.Second {
				first++
			}
		}
		must.LessEq(t, 15, first, must.Sprint("the rate without the burst"))
	})
}
