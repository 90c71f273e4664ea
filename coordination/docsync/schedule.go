package docsync

import "time"

// scheduleSlack is how long before its end a read may return early: the next one then waits for the
// slot after it.
const scheduleSlack = 50 * time.Millisecond

// ReadSchedule spreads the reads of a site's readers over time. A read waits for a change, and a
// connection that has fallen silent is noticed only when the read should have ended. A change ends
// the reads of all readers at once; without a schedule they would stay in step, and a fault that
// silences all connections would be noticed everywhere only after Interval.
type ReadSchedule struct {
	// Interval is the time between two reads of a reader while nothing changes.
	Interval time.Duration
	// Slot is the reader's position among the Slots readers of the site, beginning with 0.
	Slot, Slots int
}

// Wait returns how long a read that begins at now may wait for a change: until the next end of the
// reader's slot, at most Interval and scheduleSlack. now is a reading of a clock that all readers
// share; with clocks that differ the reads are spread by chance. Without an interval a read doesn't
// wait.
func (s ReadSchedule) Wait(now time.Duration) time.Duration {
	if s.Interval <= 0 {
		return 0
	}
	offset := s.Interval * time.Duration(s.Slot) / time.Duration(max(1, s.Slots))
	left := s.Interval - (now-offset)%s.Interval
	if left > s.Interval { // now is before the first slot
		left -= s.Interval
	}
	if left < scheduleSlack {
		left += s.Interval
	}
	return left
}
