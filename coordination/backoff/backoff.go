// Package backoff computes waits that double with each failure.
package backoff

import "time"

// maxDoublings keeps a doubled wait within the range of time.Duration: 2^16 s are
// eighteen hours.
const maxDoublings = 16

// Doubled returns first, doubled so many times and bounded by longest.
func Doubled(first, longest time.Duration, times int) time.Duration {
	return min(first<<min(max(times, 0), maxDoublings), longest)
}
