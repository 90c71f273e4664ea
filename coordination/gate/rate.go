package gate

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// RateLimit limits the rate of requests to a backend server, because it is cold after a start
// or because it states a limit. The zero value sets no limit.
type RateLimit struct {
	// Until is when the limit ends.
	Until time.Time
	// PerSecond is the rate limit in requests per second; 0 sets no limit.
	PerSecond float64
	// Burst is the number of requests by which any second may exceed the rate.
	Burst float64
}

// active reports whether the limit applies at now.
func (l *RateLimit) active(now time.Time) bool { return l.PerSecond > 0 && now.Before(l.Until) }

const (
	// defaultServiceTime is the mean service time assumed until the first request has completed.
	defaultServiceTime = 100 * time.Millisecond
	// limitedSlotFactor is the ratio of a limited backend server's slots to the mean concurrency
	// at its rate. It leaves free slots for bursts of requests.
	limitedSlotFactor = 2
	// warmUpTime is the time over which the usable slots of a backend server whose limit has
	// ended grow to their full number, so that the entry nodes don't all send to it at once.
	warmUpTime = time.Second
)

// slots returns how many of the full number of slots may be used. serviceTime is the mean
// service time; 0 when not known.
func (l *RateLimit) slots(full int, serviceTime time.Duration, now time.Time) int {
	if l.PerSecond <= 0 || now.Sub(l.Until) >= warmUpTime {
		return full
	}
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
	}
	limited := min(full, max(1, int(math.Ceil(limitedSlotFactor*l.PerSecond*serviceTime.Seconds()))))
	warm := max(0, now.Sub(l.Until)).Seconds() / warmUpTime.Seconds()
	return limited + int(float64(full-limited)*warm)
}

// rateBucket is a token bucket that limits the requests to a backend server to Burst +
// PerSecond in any second. The zero value sets no limit. It is safe for concurrent use.
type rateBucket struct {
	active atomic.Bool

	mu     sync.Mutex
	limit  RateLimit
	tokens float64
	filled time.Time
}

// set replaces the limit and reports whether requests now have to wait longer. A bucket that
// becomes active starts empty, since the node's previous process may have used up the burst
// within the last second.
func (b *rateBucket) set(l RateLimit, now time.Time) (stricter bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	active, was := l.active(now), b.active.Load()
	stricter = active && (!was || l.PerSecond < b.limit.PerSecond)
	if active && !was {
		b.tokens, b.filled = 0, now
	}
	if was {
		b.refill(now)
	}
	b.limit = l
	b.tokens = min(b.tokens, b.capacity())
	b.active.Store(active)
	return stricter
}

// capacity returns the capacity in tokens. b.mu must be held.
func (b *rateBucket) capacity() float64 { return max(1, b.limit.Burst) }

// refill adds the tokens since the last call. b.mu must be held.
func (b *rateBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.limit.PerSecond, b.capacity())
		b.filled = now
	}
}

// admit takes a token, if the limit applies, and reports whether a request may be sent to the
// backend server.
func (b *rateBucket) admit(now time.Time) bool {
	if !b.active.Load() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limit.active(now) {
		return true
	}
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refund returns the token of a request that was not sent.
func (b *rateBucket) refund() {
	if !b.active.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+1, b.capacity())
}

// wait returns the time until n tokens are available, if none is taken before; 0 if the limit
// doesn't apply.
func (b *rateBucket) wait(n int, now time.Time) time.Duration {
	return b.whileActive(now, func() time.Duration {
		b.refill(now)
		missing := max(0, float64(n)-b.tokens)
		return time.Duration(missing / b.limit.PerSecond * float64(time.Second))
	})
}

// spacing returns the mean time between two requests at the rate limit; 0 if the limit doesn't
// apply.
func (b *rateBucket) spacing(now time.Time) time.Duration {
	return b.whileActive(now, func() time.Duration { return time.Duration(float64(time.Second) / b.limit.PerSecond) })
}

// whileActive returns the result of f, which is called with b.mu held; 0 if the limit doesn't
// apply.
func (b *rateBucket) whileActive(now time.Time, f func() time.Duration) time.Duration {
	if !b.active.Load() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limit.active(now) {
		return 0
	}
	return f()
}

// admitRate takes a token of each limit that applies, and reports whether all had one.
func (g *Gate) admitRate(now time.Time) bool {
	if !g.cold.admit(now) {
		return false
	}
	if !g.stated.admit(now) {
		g.cold.refund()
		return false
	}
	return true
}

// unused releases the slot and the tokens of a request that isn't sent.
func (g *Gate) unused() {
	g.used.Add(-1)
	g.cold.refund()
	g.stated.refund()
}

// rateWait returns the time until n more requests may be sent by the limits that apply.
func (g *Gate) rateWait(n int, now time.Time) time.Duration {
	return max(g.cold.wait(n, now), g.stated.wait(n, now))
}

// StatedWait returns the time until a request that arrives now may be sent by the limit that
// the backend server states, behind those that are queued; 0 if the limit doesn't delay it.
func (g *Gate) StatedWait(now time.Time) time.Duration {
	return g.stated.wait(int(g.queued.Load())+1, now)
}

// StatedSpacing returns the mean time between two requests at the limit that the backend server
// states; 0 if it states none.
func (g *Gate) StatedSpacing(now time.Time) time.Duration { return g.stated.spacing(now) }

// waitReason returns the reason to refuse a request that would have to wait too long.
func (g *Gate) waitReason(now time.Time) outcome.Reason {
	if g.stated.wait(1, now) > 0 {
		return outcome.ReasonServerLimit
	}
	return outcome.ReasonQueueFull
}

// shedBeyondRate refuses the queued requests that the limits, which have become stricter, leave
// no time for. g.mu must be held.
func (g *Gate) shedBeyondRate(now time.Time) {
	var late []*Waiter
	g.queue.each(func(w *Waiter, ahead int) {
		if !w.waitUntil.IsZero() && now.Add(g.rateWait(ahead+1-len(late), now)).After(w.waitUntil) {
			late = append(late, w)
		}
	})
	reason := g.waitReason(now)
	for _, w := range late {
		g.queue.drop(w)
		w.Settle(reason)
	}
	g.queued.Store(int64(g.queue.size))
}
