// Package bootclock reads a clock that goes on while the host is suspended.
//
// Go's monotonic time stands still while a host is suspended. What must not outlive a
// bound in real time, such as a proof that a configuration is current, would then be
// taken for as young as it was before. A process that is stopped alone needs no such
// clock: its host's time goes on.
package bootclock

import "time"

// Now returns the moment by this clock. It says nothing of the time of day and is to be
// compared with other moments of this clock only.
func Now() time.Time { return time.Unix(0, int64(sinceBoot())) }

// begin is where monotonic time is counted from.
var begin = time.Now()

// sinceBegin is the monotonic time since the process began, where there is no better
// clock. It doesn't count suspensions on every system.
func sinceBegin() time.Duration { return time.Since(begin) + time.Nanosecond }
