// Package backoff computes exponential backoff: delays that double with each failure.
package backoff

import "time"

// maxDoublings keeps a doubled delay within the range of time.Duration: one second doubled
// 16 times is eighteen hours.
const maxDoublings = 16

// Doubled returns the delay first, doubled the given number of times, but at most longest.
// A negative number counts as 0.
func Doubled(first, longest time.Duration, times int) time.Duration {
	return min(first<<min(max(times, 0), maxDoublings), longest)
}
