//go:build !linux

package bootclock

import "time"

// sinceBoot returns the time since the process started.
func sinceBoot() time.Duration { return sinceProcessStart() }
