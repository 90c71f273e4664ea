package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// supported reports whether the process can read CLOCK_BOOTTIME. It is determined only
// once, because readings of two clocks must not be mixed.
var supported = unix.ClockGettime(unix.CLOCK_BOOTTIME, new(unix.Timespec)) == nil

// sinceBoot returns the time since the host booted, including suspensions.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if !supported || unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return sinceProcessStart()
	}
	return time.Duration(ts.Nano())
}
