package suspect

import "time"

// Trial is a trial of a quarantined request: one request that is sent to one backend server
// although it is quarantined, to find out whether it still crashes the server.
type Trial struct {
	// Count is the number of trials of the quarantine, this one included; 0 if none was made.
	Count int
	// At is when the trial began, or the wait for the first one, by the store's clock.
	At time.Duration
	// Crash is a crash that counted against the request then.
	Crash uint64
}

// Of reports whether the trial belongs to the quarantine by an entry, rather than to one
// that a success has ended.
func (t Trial) Of(e *Entry) bool {
	for i := range e.Evidence {
		if v := &e.Evidence[i]; !v.Refuted && v.Crash.ID == t.Crash {
			return true
		}
	}
	return false
}

// LastCounted returns the ID of the newest crash that counts against the request; 0 if none does.
func (e *Entry) LastCounted() uint64 {
	for i := range e.Evidence { // the newest first
		if v := &e.Evidence[i]; !v.Refuted {
			return v.Crash.ID
		}
	}
	return 0
}
