//go:build !linux

package bootclock

import "time"

// sinceBoot is the time since the process began.
func sinceBoot() time.Duration { return sinceBegin() }
