// Package bootclock reads a clock that keeps running while the host is suspended.
//
// Go's monotonic clock stops while the host is suspended. Anything with a maximum age in
// real time, such as a proof that a configuration is current, would not age during the
// suspension. The package isn't needed for a process that is stopped on a running host:
// there the monotonic clock keeps running.
package bootclock

import "time"

// Now returns the current reading of this clock. It is unrelated to the time of day and
// may only be compared with other readings of this clock.
func Now() time.Time { return time.Unix(0, int64(sinceBoot())) }

// processStart is the origin of sinceProcessStart.
var processStart = time.Now()

// sinceProcessStart returns the monotonic time since the process started. It is the
// fallback where no better clock is available; on some systems it excludes suspensions.
func sinceProcessStart() time.Duration { return time.Since(processStart) + time.Nanosecond }
