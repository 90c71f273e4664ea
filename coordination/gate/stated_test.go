package gate

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// statedLoad is a load on the gate of a backend server that states a rate limit.
type statedLoad struct {
	gate *Gate

	mu       sync.Mutex
	limits   Limits
	admitted []time.Time
	// served and refused count by rank. slowest is the longest time to a refusal.
	served, refused map[int]int
	reasons         map[outcome.Reason]int
	slowest         time.Duration
	running         sync.WaitGroup
}

// state sets the limit that the backend server states; below 0 for none.
func (l *statedLoad) state(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.limits.Stated = RateLimit{}
	if perSecond >= 0 {
		rate := max(perSecond, 0.5)
		l.limits.Stated = RateLimit{Until: now.Add(time.Hour), PerSecond: rate, Burst: rate / 2}
	}
	l.gate.Update(l.limits, now)
}

// request sends a request of a rank, which holds its slot for the service time.
func (l *statedLoad) request(rank int, serviceTime time.Duration) {
	l.running.Go(func() {
		began := time.Now()
		work := model.Work{Kind: model.KindInteractive, Rank: rank, Target: 400 * time.Millisecond}
		r := Request{Work: work, Due: began.Add(work.Target), Deadline: began.Add(2 * time.Second)}
		reason := l.gate.Enter(context.Background(), r, time.Now)
		l.record(rank, reason, began)
		if reason == "" {
			time.Sleep(serviceTime)
			l.gate.Release(work, serviceTime, time.Now())
		}
	})
}

func (l *statedLoad) record(rank int, reason outcome.Reason, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reason == "" {
		l.served[rank]++
		l.admitted = append(l.admitted, time.Now())
		return
	}
	l.refused[rank]++
	l.reasons[reason]++
	l.slowest = max(l.slowest, time.Since(began))
}

// admissions returns the number of requests admitted so far.
func (l *statedLoad) admissions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.admitted)
}

// send sends requests of ranks in turn at a rate for a duration.
func (l *statedLoad) send(perSecond float64, duration time.Duration, ranks ...int) {
	rnd := rand.New(rand.NewPCG(5, 9))
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
		l.request(ranks[i%len(ranks)], 50*time.Millisecond)
	}
}

// most returns the largest number of admissions after a time in any four seconds.
func (l *statedLoad) most(after time.Time) int {
	slices.SortFunc(l.admitted, time.Time.Compare)
	most, from := 0, 0
	for i, at := range l.admitted {
		if at.Before(after) {
			from = i + 1
			continue
		}
		for at.Sub(l.admitted[from]) >= 4*time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// simulateStated calls run, on virtual time, with the gate of a backend server.
func simulateStated(t *testing.T, run func(*statedLoad)) {
	synctest.Test(t, func(t *testing.T) {
		l := &statedLoad{
			gate: New(), limits: Limits{Slots: 8, Connections: 8, QueueLength: 32},
			served: make(map[int]int), refused: make(map[int]int), reasons: make(map[outcome.Reason]int),
		}
		l.state(-1)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for ctx.Err() == nil {
				time.Sleep(100 * time.Millisecond)
				l.gate.Tick(time.Now())
			}
		}()
		run(l)
		l.running.Wait()
		cancel()
		<-ended
	})
}

// allowed is the largest number of requests in four seconds that a stated limit allows.
func allowed(perSecond float64) int { return int(1.5*4*perSecond) + 5 }

// Guards against a stated limit that is exceeded in some window, or that leaves requests
// waiting although no token will come in time.
func TestStatedLimitHoldsInEachWindow(t *testing.T) {
	for _, perSecond := range []float64{0, 0.2, 1, 3, 10.9, 60} {
		simulateStated(t, func(l *statedLoad) {
			l.send(150, 2*time.Second, 1)
			began := time.Now()
			l.state(perSecond)
			l.send(150, 10*time.Second, 1)
			time.Sleep(10 * time.Second) // the bucket fills
			l.send(150, 10*time.Second, 1)
			l.running.Wait()
			must.LessEq(t, allowed(perSecond), l.most(began), must.Sprint(perSecond))
			must.GreaterEq(t, int(4*perSecond), l.most(began), must.Sprintf("%v: the limit should be used", perSecond))
			must.Less(t, 400*time.Millisecond, l.slowest, must.Sprintf("%v: refused while the response could still be in time", perSecond))
			must.Positive(t, l.reasons[outcome.ReasonServerLimit])
			must.Zero(t, l.reasons[outcome.ReasonDeadline])
		})
	}
}

// A load below the limit is served as if there were none.
func TestLoadBelowTheStatedLimitIsServed(t *testing.T) {
	simulateStated(t, func(l *statedLoad) {
		l.state(20)
		l.send(12, 30*time.Second, 1)
		l.running.Wait()
		must.LessEq(t, len(l.admitted)/50, l.refused[1])
	})
}

// Guards against requests that were queued under a higher limit and wait in vain under a lower
// one.
func TestFallenLimitRefusesQueuedRequestsAtOnce(t *testing.T) {
	simulateStated(t, func(l *statedLoad) {
		l.state(100)
		l.send(200, 2*time.Second, 1)
		for range 12 {
			l.request(1, 50*time.Millisecond)
		}
		synctest.Wait()
		queued := l.gate.Load().Queued
		must.GreaterEq(t, 5, queued)
		l.state(1)
		synctest.Wait()
		must.LessEq(t, 1, l.gate.Load().Queued)
		fell := time.Now()
		l.send(200, 8*time.Second, 1)
		l.running.Wait()
		must.LessEq(t, allowed(1), l.most(fell))
	})
}

// Guards against a backend server that stays limited, or is flooded, after its limit has ended.
func TestSlotsReturnGraduallyAfterTheLimitHasEnded(t *testing.T) {
	simulateStated(t, func(l *statedLoad) {
		l.state(2)
		l.send(100, 3*time.Second, 1)
		must.Eq(t, 1, l.gate.Load().Slots)
		ended := l.limits
		ended.Stated.Until = time.Now()
		l.gate.Update(ended, time.Now())
		must.Less(t, 8, l.gate.Load().Slots)
		time.Sleep(1200 * time.Millisecond)
		must.Eq(t, 8, l.gate.Load().Slots)
		before := l.admissions()
		l.send(100, 2*time.Second, 1)
		must.GreaterEq(t, 180, l.admissions()-before)
	})
}

// Under a limit, the requests of the more important rank are served first.
func TestStatedLimitServesTheMoreUrgentFirst(t *testing.T) {
	simulateStated(t, func(l *statedLoad) {
		l.state(20)
		l.send(80, 30*time.Second, 0, 3)
		l.running.Wait()
		must.Greater(t, 3*l.served[3], l.served[0])
	})
}

// Guards against requests with short service times that are admitted in bursts at the ticks of
// the gate only.
func TestQueuedRequestsAreAdmittedWhenTheLimitAllows(t *testing.T) {
	simulateStated(t, func(l *statedLoad) {
		l.state(25)
		time.Sleep(5 * time.Millisecond) // between two ticks
		for range 4 {
			l.request(1, time.Millisecond)
		}
		l.running.Wait()
		must.Len(t, 4, l.admitted)
		for i, at := range l.admitted[1:] {
			must.Between(t, 38*time.Millisecond, at.Sub(l.admitted[i]), 45*time.Millisecond)
		}
	})
}

// Guards against a token that is lost with a request that can no longer be sent.
func TestCancelledWaiterUsesNoToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New()
		now := time.Now()
		g.Update(Limits{Slots: 2, Connections: 2, QueueLength: 8, Stated: RateLimit{Until: now.Add(time.Hour), PerSecond: 1, Burst: 1}}, now)
		time.Sleep(time.Second)
		w := Waiter{Request: Request{Deadline: now}, Settle: func(outcome.Reason) {}}
		g.mu.Lock()
		g.queue.push(&w)
		g.grant(time.Now())
		g.mu.Unlock()
		must.Eq(t, 0, g.StatedWait(time.Now()))
	})
}
