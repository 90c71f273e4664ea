package gate

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// ColdLimits limits the requests to a backend server that is cold after a start. The zero value
// sets no limit.
type ColdLimits struct {
	// Until is when the backend server is warm.
	Until time.Time
	// PerSecond is the rate limit in requests per second; 0 sets no limit.
	PerSecond float64
	// Burst is the number of requests by which any second may exceed the rate.
	Burst float64
}

// active reports whether the backend server is cold at now.
func (c *ColdLimits) active(now time.Time) bool { return c.PerSecond > 0 && now.Before(c.Until) }

const (
	// defaultServiceTime is the mean service time assumed until the first request has completed.
	defaultServiceTime = 100 * time.Millisecond
	// coldSlotFactor is the ratio of a cold backend server's slots to the mean concurrency at
	// its rate. It leaves free slots for bursts of requests.
	coldSlotFactor = 2
	// warmUpTime is the time over which the usable slots of a backend server that has become
	// warm grow to their full number, so that the entry nodes don't all send to it at once.
	warmUpTime = time.Second
)

// slots returns how many of the full number of slots may be used. serviceTime is the mean
// service time; 0 when not known.
func (c *ColdLimits) slots(full int, serviceTime time.Duration, now time.Time) int {
	if c.PerSecond <= 0 || now.Sub(c.Until) >= warmUpTime {
		return full
	}
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
	}
	cold := min(full, max(1, int(math.Ceil(coldSlotFactor*c.PerSecond*serviceTime.Seconds()))))
	warm := max(0, now.Sub(c.Until)).Seconds() / warmUpTime.Seconds()
	return cold + int(float64(full-cold)*warm)
}

// coldBucket is a token bucket that limits the requests to a cold backend server to Burst +
// PerSecond in any second. The zero value sets no limit. It is safe for concurrent use.
type coldBucket struct {
	active atomic.Bool

	mu     sync.Mutex
	limits ColdLimits
	tokens float64
	filled time.Time
}

// set replaces the limits. A bucket that becomes active starts empty, since the node's previous
// process may have used up the burst within the last second.
func (b *coldBucket) set(l ColdLimits, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	active := l.active(now)
	if active && !b.active.Load() {
		b.tokens, b.filled = 0, now
	}
	b.limits = l
	b.active.Store(active)
}

// admit takes a token, if the limits apply, and reports whether a request may be sent to the
// backend server.
func (b *coldBucket) admit(now time.Time) bool {
	if !b.active.Load() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limits.active(now) {
		return true
	}
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.limits.PerSecond, max(1, b.limits.Burst))
		b.filled = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// spacing returns the mean time between two requests at the rate limit; 0 while the backend
// server is warm.
func (b *coldBucket) spacing(now time.Time) time.Duration {
	if !b.active.Load() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limits.active(now) {
		return 0
	}
	return time.Duration(float64(time.Second) / b.limits.PerSecond)
}
