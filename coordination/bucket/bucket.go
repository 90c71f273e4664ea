// Package bucket is a token bucket in one atomic word, after the generic cell
// rate algorithm: the word holds the time at which the bucket would be full.
// The rate and size are arguments of each call, so that a share of a
// fleet-wide rate can change without any state to convert.
package bucket

import (
	"math"
	"sync/atomic"
	"time"
)

// maxInterval bounds the time between two tokens, against overflow.
const maxInterval = 24 * time.Hour

// Size is a bucket's refill rate and capacity.
type Size struct {
	// PerSecond is the refill rate in tokens per second. 0 or less refills
	// nothing.
	PerSecond float64
	// Burst is the capacity in tokens. Below 1 the bucket admits by chance,
	// see Take.
	Burst float64
}

// Bucket is a token bucket. The zero value is full. It is safe for concurrent
// use.
type Bucket struct {
	full atomic.Int64 // Unix nanoseconds at which the bucket is full
}

// Take takes one token. When it can't, it returns false and the time until the
// next token.
//
// A bucket smaller than one token never holds a whole one. It admits with the
// chance of the part it holds, which chance in [0, 1) decides, and is empty
// afterwards in either case. So the expected number admitted by many small
// buckets is the sum of what they held, whatever the callers do.
func (b *Bucket) Take(now time.Time, s Size, chance float64) (bool, time.Duration) {
	if s.PerSecond <= 0 || s.Burst <= 0 {
		return false, maxInterval
	}
	step := interval(s.PerSecond)
	capacity := span(step, s.Burst)
	at := now.UnixNano()
	if s.Burst < 1 {
		return b.takeByChance(at, step, capacity, chance)
	}
	for {
		old := b.full.Load()
		next := max(old, at) + int64(step)
		if wait := next - at - int64(capacity); wait > 0 {
			return false, time.Duration(wait)
		}
		if b.full.CompareAndSwap(old, next) {
			return true, 0
		}
	}
}

func (b *Bucket) takeByChance(at int64, step, capacity time.Duration, chance float64) (bool, time.Duration) {
	for {
		old := b.full.Load()
		held := at + int64(capacity) - max(old, at)
		if held <= 0 {
			return false, step
		}
		if !b.full.CompareAndSwap(old, at+int64(capacity)) {
			continue
		}
		if chance < float64(held)/float64(step) {
			return true, 0
		}
		return false, step
	}
}

// Return gives back a token that was taken and not used.
func (b *Bucket) Return(s Size) {
	if s.PerSecond > 0 {
		b.full.Add(-int64(interval(s.PerSecond)))
	}
}

// Drain empties the bucket, so that a new one starts without credit.
func (b *Bucket) Drain(now time.Time, s Size) {
	if s.PerSecond > 0 {
		b.full.Store(now.UnixNano() + int64(span(interval(s.PerSecond), s.Burst)))
	}
}

func interval(perSecond float64) time.Duration {
	return time.Duration(math.Min(float64(time.Second)/perSecond, float64(maxInterval)))
}

func span(step time.Duration, tokens float64) time.Duration {
	// 365 intervals of the longest kind still fit an int64 many times over.
	return time.Duration(math.Min(float64(step)*tokens, float64(365*maxInterval)))
}
