package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// supported says whether the system lets the process read the clock. It is found out
// once: two clocks must not be mixed.
var supported = unix.ClockGettime(unix.CLOCK_BOOTTIME, new(unix.Timespec)) == nil

// sinceBoot is the time since the host's start, suspensions included.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if !supported || unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return sinceBegin()
	}
	return time.Duration(ts.Nano())
}
