package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Limits are what a backend server offers and what of it may be used.
type Limits struct {
	// Slots is the number of requests the backend server runs at one time.
	Slots int
	// Connections is the number of connections it accepts. A request in
	// flight uses one.
	Connections int
	// OlderSlots is the number of slots left to the older system.
	OlderSlots int
	// QueueLength bounds the requests that wait.
	QueueLength int
	// SlowStart is how long a cold server takes to be given all its slots.
	SlowStart time.Duration
	// Since is when the server was first announced.
	Since time.Time
	// Draining refuses all new requests.
	Draining bool
	// Cold bounds the requests while the backend server is cold.
	Cold ColdLimits
}

// usable returns the number of slots that may be used at now. At least one
// slot is used whatever is left to the older system: a service without any
// would be announced and never served.
func (l Limits) usable(now time.Time) int {
	full := max(1, min(l.Slots, l.Connections)-max(0, l.OlderSlots))
	warm := now.Sub(l.Since)
	if l.SlowStart <= 0 || warm >= l.SlowStart {
		return full
	}
	ramped := float64(full) * float64(max(0, warm)) / float64(l.SlowStart)
	return max(1, int(ramped))
}

// Load is the gate's load.
type Load struct {
	// Used is the number of slots in use.
	Used int
	// Slots is the number of slots that may be used now.
	Slots int
	// Queued is the number of requests that wait.
	Queued int
}

// Gate counts one backend server's slots. It is safe for concurrent use.
type Gate struct {
	used    atomic.Int64
	slots   atomic.Int64
	waiting atomic.Int64
	closed  atomic.Bool
	times   estimates

	slowdown slowdown
	cold     coldBucket

	mu     sync.Mutex
	limits Limits
	queue  queue
}

// New returns a gate that refuses everything until Update is called.
func New() *Gate {
	g := &Gate{}
	g.queue.weight = g.weight
	g.closed.Store(true)
	return g
}

// Load returns the present load.
func (g *Gate) Load() Load {
	return Load{Used: int(g.used.Load()), Slots: int(g.slots.Load()), Queued: int(g.waiting.Load())}
}

// Work returns the mean time that a request holds a slot; 0 before the first.
func (g *Gate) Work() time.Duration { return g.times.all.average() }

// Typical returns what requests of a sort take on average; 0 before the first.
func (g *Gate) Typical(w model.Work) time.Duration {
	return time.Duration(g.times.Of(w).typical.Load())
}

// least returns a low estimate of what a request of a sort takes that begins now.
func (g *Gate) least(w model.Work, now time.Time) time.Duration {
	times := g.times.Of(w)
	return times.slowed(times.get(), g.slowdown.get(now))
}

// Update sets the limits. Slots that were taken away are not refilled as they
// become free; slots that were added go to those who wait.
func (g *Gate) Update(l Limits, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = l
	g.closed.Store(l.Draining)
	g.cold.set(l.Cold, now)
	g.setSlots(now)
	if l.Draining {
		g.refuseAll(outcome.ReasonDraining)
		return
	}
	g.grant(now)
}

// Tick lets slow start go on and estimates decay. Drivers call it about every
// 100 ms.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.times.tick()
	if !g.closed.Load() {
		g.setSlots(now)
		g.grant(now)
	}
}

// setSlots sets the number of slots that may be used now; g.mu is held.
func (g *Gate) setSlots(now time.Time) {
	full := g.limits.usable(now)
	g.slots.Store(int64(g.limits.Cold.slots(full, g.times.all.average(), now)))
}

// Try takes a slot where one is free and nobody waits. On true the caller holds
// a slot and must call Release. On false it calls Acquire, which says why; Try
// only spares a request that need not wait the making of a Waiter.
func (g *Gate) Try(r Request, now time.Time) bool {
	if g.closed.Load() || now.Add(g.least(r.Work, now)).After(r.Deadline) {
		return false
	}
	return g.waiting.Load() == 0 && g.take(now)
}

// Acquire takes a slot for a request. On true the caller holds a slot and must
// call Release. On false with an empty reason, w waits and its Settle is called
// later. On false with a reason the request is refused.
func (g *Gate) Acquire(w *Waiter, now time.Time) (acquired bool, refused outcome.Reason) {
	if g.Try(w.Request, now) {
		return true, ""
	}
	if g.closed.Load() {
		return false, outcome.ReasonDraining
	}
	times := g.times.Of(w.Request.Work)
	if now.Add(g.least(w.Request.Work, now)).After(w.Request.Deadline) {
		return false, outcome.ReasonDeadline
	}
	if !w.Request.Due.IsZero() {
		w.latest = w.Request.Due.Add(-times.slowed(times.average(), g.slowdown.get(now)))
		w.until = g.waitBound(w, now)
	}
	return g.enqueue(w, now)
}

// take takes a slot if one is free and the limits of a cold backend server allow the request.
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
	if !g.cold.admit(now) {
		g.used.Add(-1)
		return false
	}
	return true
}

func (g *Gate) enqueue(w *Waiter, now time.Time) (bool, outcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed.Load() {
		return false, outcome.ReasonDraining
	}
	if reason := g.late(w, now); reason != "" {
		return false, reason
	}
	if g.queue.size >= g.limits.QueueLength && g.queue.size > 0 {
		shed := g.queue.evict(w)
		if shed == nil {
			return false, outcome.ReasonQueueFull
		}
		shed.Settle(outcome.ReasonShed)
	}
	// The count goes up before the last look for a slot: a Release that frees
	// one after that look sees the count and grants it.
	g.queue.push(w)
	g.waiting.Store(int64(g.queue.size))
	if g.queue.size == 1 && g.take(now) {
		g.queue.remove(w)
		g.waiting.Store(0)
		return true, ""
	}
	if g.limits.QueueLength == 0 {
		g.queue.remove(w)
		g.waiting.Store(int64(g.queue.size))
		return false, outcome.ReasonQueueFull
	}
	return false, ""
}

// Cancel gives up waiting. It returns false when w was settled already; its
// slot, if it got one, must then be released.
func (g *Gate) Cancel(w *Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	waited := g.queue.drop(w)
	g.waiting.Store(int64(g.queue.size))
	return waited
}

// Release returns a slot. took is the time the request held it; 0 when the
// backend server did not run it.
func (g *Gate) Release(w model.Work, took time.Duration, now time.Time) {
	g.ReleaseSlowed(w, took, 1, now)
}

// ReleaseSlowed is Release for a request that began while the host had the slowdown: work
// takes as long as the host lets it when it begins.
func (g *Gate) ReleaseSlowed(w model.Work, took time.Duration, slowdown float64, now time.Time) {
	switch {
	case took <= 0:
	case slowdown == 1:
		g.times.add(w, took)
	default:
		g.times.addSlowed(w, took, slowdown)
	}
	g.used.Add(-1)
	if g.waiting.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grant(now)
}

// grant gives free slots to those who wait; g.mu is held.
func (g *Gate) grant(now time.Time) {
	for g.queue.size > 0 && g.take(now) {
		w := g.nextInTime(now)
		if w == nil {
			g.used.Add(-1)
			break
		}
		w.Settle("")
	}
	g.waiting.Store(int64(g.queue.size))
}

// nextInTime pops the next waiter that can still be served in time and refuses
// those before it.
func (g *Gate) nextInTime(now time.Time) *Waiter {
	for w := g.queue.pop(); w != nil; w = g.queue.pop() {
		if !now.Add(g.least(w.Request.Work, now)).After(w.Request.Deadline) {
			return w
		}
		w.Settle(outcome.ReasonDeadline)
	}
	return nil
}

func (g *Gate) refuseAll(reason outcome.Reason) {
	for w := g.queue.pop(); w != nil; w = g.queue.pop() {
		w.Settle(reason)
	}
	g.waiting.Store(0)
}
