package departure

import "time"

// memory is how far back the departures of this availability zone that a node remembers reach.
type memory struct {
	// startedAt is when the node had its first event; zero before.
	startedAt time.Time
	// since is the time from which on the node has learned of all departures.
	since time.Time
	// isolated is set once the node has lost its last peer, until one connects.
	isolated bool
}

// begin starts the memory with the node's first event. Nothing has departed before the first start of
// a site.
func (m *memory) begin(now time.Time, cfg Config) {
	if !m.startedAt.IsZero() {
		return
	}
	m.startedAt, m.since = now, now
	if cfg.FirstStart {
		m.since = now.Add(-cfg.Retention)
	}
}

// linked records a connection to a peer. A node that had none has missed departures.
func (m *memory) linked(now time.Time) {
	if m.isolated {
		m.isolated, m.since = false, now
	}
}

// extend records that a peer has told all that it remembers, for the given time back.
func (m *memory) extend(now time.Time, reach time.Duration) {
	if since := now.Add(-reach); since.Before(m.since) {
		m.since = since
	}
}

// reach returns how far back the memory reaches, most at most.
func (m *memory) reach(now time.Time, most time.Duration) time.Duration {
	if m.isolated {
		return 0
	}
	return min(max(0, now.Sub(m.since)), most)
}

// fromMillis converts a received duration, which is bounded.
func fromMillis(millis uint64, most time.Duration) time.Duration {
	return time.Duration(min(millis, uint64(most/time.Millisecond))) * time.Millisecond
}
