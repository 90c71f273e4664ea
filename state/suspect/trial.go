package suspect

import "time"

// Trial is a trial of a quarantined request: one request that is sent to one backend server
// although it is quarantined, to find out whether it still crashes the server.
type Trial struct {
	// Count is the number of trials of the quarantine, this one included; 0 for none.
	Count int
	// At is when the trial began, in seconds of Unix time by the store's clock.
	At int64
}

// Of reports whether the trial belongs to the quarantine by an entry, rather than to one
// that a success has ended.
func (t Trial) Of(e *Entry) bool {
	for i := range e.Evidence {
		if v := &e.Evidence[i]; !v.Refuted && v.Crash.At <= t.At {
			return true
		}
	}
	return false
}

// After returns the later of the trial and a time.
func (t Trial) After(at time.Time) time.Time {
	if own := time.Unix(t.At, 0); own.After(at) {
		return own
	}
	return at
}
