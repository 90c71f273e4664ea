package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Limits are the capacity of a backend server and the bounds on its use.
type Limits struct {
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int
	// Connections is the number of connections that it accepts. A request in
	// flight uses one.
	Connections int
	// OlderSlots is the number of slots reserved for the older system.
	OlderSlots int
	// QueueLength bounds the number of queued requests.
	QueueLength int
	// SlowStart is the time after Since over which the usable slots grow to
	// their full number.
	SlowStart time.Duration
	// Since is when the backend server was first announced.
	Since time.Time
	// Draining makes the gate refuse all new and queued requests.
	Draining bool
	// Cold limits the rate while the backend server is cold.
	Cold RateLimit
	// Stated is the rate limit that the backend server states.
	Stated RateLimit
}

// usable returns the number of slots that may be used at now. It is at least
// one, however many slots are reserved for the older system: a service without
// any slot would be announced and never served.
func (l Limits) usable(now time.Time) int {
	full := max(1, min(l.Slots, l.Connections)-max(0, l.OlderSlots))
	warm := now.Sub(l.Since)
	if l.SlowStart <= 0 || warm >= l.SlowStart {
		return full
	}
	ramped := float64(full) * float64(max(0, warm)) / float64(l.SlowStart)
	return max(1, int(ramped))
}

// Load is a snapshot of a gate's load.
type Load struct {
	// Used is the number of slots in use.
	Used int
	// Slots is the number of slots that may be used now.
	Slots int
	// Queued is the number of queued requests.
	Queued int
}

// Gate admits requests to one backend server. It is safe for concurrent use.
type Gate struct {
	used         atomic.Int64
	slots        atomic.Int64
	queued       atomic.Int64
	closed       atomic.Bool
	serviceTimes estimates

	slowdown slowdown
	cold     rateBucket
	stated   rateBucket

	mu     sync.Mutex
	limits Limits
	queue  queue
}

// New returns a gate that refuses all requests until Update is called.
func New() *Gate {
	g := &Gate{}
	g.queue.sortKey = g.sortKey
	g.closed.Store(true)
	return g
}

// Load returns the current load.
func (g *Gate) Load() Load {
	return Load{Used: int(g.used.Load()), Slots: int(g.slots.Load()), Queued: int(g.queued.Load())}
}

// MeanServiceTime returns the mean time for which a request holds a slot; 0 before
// the first request has completed.
func (g *Gate) MeanServiceTime() time.Duration { return g.serviceTimes.all.average() }

// Typical returns the mean service time of a workload; 0 before its first
// request has completed. It doesn't decay while no requests complete.
func (g *Gate) Typical(w model.Work) time.Duration {
	return time.Duration(g.serviceTimes.Of(w).typical.Load())
}

// lowServiceTime returns a low estimate of the service time of a request of a
// workload that starts at now.
func (g *Gate) lowServiceTime(w model.Work, now time.Time) time.Duration {
	times := g.serviceTimes.Of(w)
	return times.slowed(times.low(), g.slowdown.current(now))
}

// Update sets the limits. Removed slots are not granted again once their
// requests release them; added slots are granted to queued requests.
func (g *Gate) Update(l Limits, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = l
	g.closed.Store(l.Draining)
	g.cold.set(l.Cold, now)
	stricter := g.stated.set(l.Stated, now)
	g.setSlots(now)
	if l.Draining {
		g.refuseAll(outcome.ReasonDraining)
		return
	}
	if stricter {
		g.shedBeyondRate(now)
	}
	g.grant(now)
}

// Tick advances slow start and the decay of the estimates. Drivers call it about
// every 100 ms.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serviceTimes.tick()
	if !g.closed.Load() {
		g.setSlots(now)
		g.grant(now)
	}
}

// setSlots sets the number of slots that may be used at now. g.mu must be held.
func (g *Gate) setSlots(now time.Time) {
	full := g.limits.usable(now)
	serviceTime := g.serviceTimes.all.average()
	slots := min(g.limits.Cold.slots(full, serviceTime, now), g.limits.Stated.slots(full, serviceTime, now))
	g.slots.Store(int64(slots))
}

// Try takes a slot if one is free and the queue is empty. If it returns true,
// the caller holds a slot and must call Release. If it returns false, the caller
// calls Acquire, which returns the reason of a refusal; Try only saves requests
// that need not wait the allocation of a Waiter.
func (g *Gate) Try(r Request, now time.Time) bool {
	if g.closed.Load() || now.Add(g.lowServiceTime(r.Work, now)).After(r.Deadline) {
		return false
	}
	return g.queued.Load() == 0 && g.take(now)
}

// Acquire takes a slot for a request. If it returns true, the caller holds a
// slot and must call Release. If it returns false and no reason, w is queued and
// its Settle is called later. If it returns a reason, the request is refused.
func (g *Gate) Acquire(w *Waiter, now time.Time) (acquired bool, refused outcome.Reason) {
	if g.Try(w.Request, now) {
		return true, ""
	}
	if g.closed.Load() {
		return false, outcome.ReasonDraining
	}
	times := g.serviceTimes.Of(w.Request.Work)
	if now.Add(g.lowServiceTime(w.Request.Work, now)).After(w.Request.Deadline) {
		return false, outcome.ReasonDeadline
	}
	if !w.Request.Due.IsZero() {
		w.latestStart = w.Request.Due.Add(-times.slowed(times.average(), g.slowdown.current(now)))
		w.waitUntil = g.waitBound(w, now)
	}
	return g.enqueue(w, now)
}

// take takes a slot if one is free and the rate limits allow the request.
func (g *Gate) take(now time.Time) bool {
	for {
		used := g.used.Load()
		if used >= g.slots.Load() {
			return false
		}
		if g.used.CompareAndSwap(used, used+1) {
			break
		}
	}
	if !g.admitRate(now) {
		g.used.Add(-1)
		return false
	}
	return true
}

// enqueue queues a request, or takes a slot for it if one has become free. Its
// results are those of Acquire.
func (g *Gate) enqueue(w *Waiter, now time.Time) (bool, outcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed.Load() {
		return false, outcome.ReasonDraining
	}
	if reason := g.refusal(w, now); reason != "" {
		return false, reason
	}
	if g.queue.size >= g.limits.QueueLength && g.queue.size > 0 {
		shed := g.queue.evict(w)
		if shed == nil {
			return false, g.waitReason(now)
		}
		shed.Settle(outcome.ReasonShed)
	}
	// The waiter is counted before the last attempt to take a slot: a Release
	// that frees a slot after that attempt sees the count and grants the slot.
	g.queue.push(w)
	g.queued.Store(int64(g.queue.size))
	if g.queue.size == 1 && g.take(now) {
		g.queue.remove(w)
		g.queued.Store(0)
		return true, ""
	}
	if g.limits.QueueLength == 0 {
		g.queue.remove(w)
		g.queued.Store(int64(g.queue.size))
		return false, g.waitReason(now)
	}
	return false, ""
}

// Cancel removes w from the queue. It returns false when w was already settled;
// if w was granted a slot, the caller must then release it.
func (g *Gate) Cancel(w *Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	waited := g.queue.drop(w)
	g.queued.Store(int64(g.queue.size))
	return waited
}

// Release returns a slot. took is the time for which the request held it; 0 if
// the backend server did not run the request.
func (g *Gate) Release(w model.Work, took time.Duration, now time.Time) {
	g.ReleaseSlowed(w, took, 1, now)
}

// ReleaseSlowed is Release for a request that began while the host had the given
// slowdown: the slowdown at the start of a request determines its service time.
func (g *Gate) ReleaseSlowed(w model.Work, took time.Duration, slowdown float64, now time.Time) {
	switch {
	case took <= 0:
	case slowdown == 1:
		g.serviceTimes.add(w, took)
	default:
		g.serviceTimes.addSlowed(w, took, slowdown)
	}
	g.used.Add(-1)
	if g.queued.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grant(now)
}

// grant grants free slots to queued requests. g.mu must be held.
func (g *Gate) grant(now time.Time) {
	for g.queue.size > 0 && g.take(now) {
		w := g.nextInTime(now)
		if w == nil {
			g.unused()
			break
		}
		w.Settle("")
	}
	g.queued.Store(int64(g.queue.size))
}

// nextInTime pops the next waiter that can still meet its deadline, and refuses
// the waiters before it.
func (g *Gate) nextInTime(now time.Time) *Waiter {
	for w := g.queue.pop(); w != nil; w = g.queue.pop() {
		if !now.Add(g.lowServiceTime(w.Request.Work, now)).After(w.Request.Deadline) {
			return w
		}
		w.Settle(outcome.ReasonDeadline)
	}
	return nil
}

// refuseAll refuses all queued requests. g.mu must be held.
func (g *Gate) refuseAll(reason outcome.Reason) {
	for w := g.queue.pop(); w != nil; w = g.queue.pop() {
		w.Settle(reason)
	}
	g.queued.Store(0)
}
