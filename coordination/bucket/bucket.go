// Package bucket implements a token bucket in one atomic word with the generic cell rate
// algorithm: the word holds the time at which the bucket is full. Rate and size are
// arguments of each call, so that a node's share of a fleet-wide rate can change without
// conversion of any state.
package bucket

import (
	"math"
	"sync/atomic"
	"time"
)

// maxInterval limits the time between two tokens, to prevent overflow.
const maxInterval = 24 * time.Hour

// Size is a bucket's refill rate and capacity.
type Size struct {
	// PerSecond is the refill rate in tokens per second. At 0 or less, Take never succeeds.
	PerSecond float64
	// Burst is the capacity in tokens. Below 1 the bucket admits with a probability, see Take.
	Burst float64
}

// Bucket is a token bucket. The zero value is full. It is safe for concurrent
// use.
type Bucket struct {
	fullAt atomic.Int64 // Unix nanoseconds at which the bucket is full
}

// Take takes one token. If there is none, it returns false and the time until the next one.
//
// A bucket with a capacity below one token never holds a whole token. It admits with the
// probability of the fraction that it holds, and is empty afterwards in either case; draw is
// a random number in [0, 1). So the expected number of requests admitted by many small
// buckets is the sum of the tokens they held, however often callers retry.
func (b *Bucket) Take(now time.Time, s Size, draw float64) (bool, time.Duration) {
	if s.PerSecond <= 0 || s.Burst <= 0 {
		return false, maxInterval
	}
	perToken := refillInterval(s.PerSecond)
	capacity := fillTime(perToken, s.Burst)
	at := now.UnixNano()
	if s.Burst < 1 {
		return b.takeWithProbability(at, perToken, capacity, draw)
	}
	for {
		old := b.fullAt.Load()
		next := max(old, at) + int64(perToken)
		if wait := next - at - int64(capacity); wait > 0 {
			return false, time.Duration(wait)
		}
		if b.fullAt.CompareAndSwap(old, next) {
			return true, 0
		}
	}
}

func (b *Bucket) takeWithProbability(at int64, perToken, capacity time.Duration, draw float64) (bool, time.Duration) {
	for {
		old := b.fullAt.Load()
		held := at + int64(capacity) - max(old, at)
		if held <= 0 {
			return false, perToken
		}
		if !b.fullAt.CompareAndSwap(old, at+int64(capacity)) {
			continue
		}
		if draw < float64(held)/float64(perToken) {
			return true, 0
		}
		return false, perToken
	}
}

// Return adds back a token that was taken and not used.
func (b *Bucket) Return(s Size) {
	if s.PerSecond > 0 {
		b.fullAt.Add(-int64(refillInterval(s.PerSecond)))
	}
}

// Drain empties the bucket, so that a new one starts without tokens.
func (b *Bucket) Drain(now time.Time, s Size) {
	if s.PerSecond > 0 {
		b.fullAt.Store(now.UnixNano() + int64(fillTime(refillInterval(s.PerSecond), s.Burst)))
	}
}

func refillInterval(perSecond float64) time.Duration {
	return time.Duration(math.Min(float64(time.Second)/perSecond, float64(maxInterval)))
}

func fillTime(perToken time.Duration, tokens float64) time.Duration {
	// 365 intervals of maxInterval are far below the limit of an int64.
	return time.Duration(math.Min(float64(perToken)*tokens, float64(365*maxInterval)))
}
