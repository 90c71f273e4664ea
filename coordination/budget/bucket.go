package budget

import (
	"math"
	"time"
)

// bucket is a token bucket of bytes. A negative token count is overdraft.
type bucket struct {
	rate, burst, overdraw float64
	tokens                float64
	last                  time.Time
}

func newBucket(cfg Config, now time.Time) bucket {
	return bucket{rate: cfg.BytesPerSecond, burst: cfg.Burst, overdraw: cfg.Overdraw, tokens: cfg.Burst, last: now}
}

// refill adds the tokens for the time since the last call. It ignores time that goes
// backwards.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.rate)
}

// wait returns the time until size bytes may be taken; 0 means now. A message larger than
// the burst needs a full bucket.
func (b *bucket) wait(size int, overdraw bool) time.Duration {
	need := float64(size)
	if overdraw {
		need -= b.overdraw
	}
	shortfall := min(need, b.burst) - b.tokens
	if shortfall <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(shortfall / b.rate * float64(time.Second)))
}

func (b *bucket) take(size int) { b.tokens -= float64(size) }
