package share

import "time"

// Config sets how fleet-wide limits are shared out. All nodes of a fleet must
// use the same values.
type Config struct {
	// Interval is the time between two demand reports of a node.
	Interval time.Duration
	// TTL is how long a node's grant holds. It bounds how long a node that is
	// cut off uses more than its floor, and should be longer than the change
	// of a zone's reader takes.
	TTL time.Duration
	// LoanTTL is how long a loan between zones holds; it must be at least
	// TTL, Slack and Interval together, because grants rest on loans.
	LoanTTL time.Duration
	// Slack is added to the life of a grant in the books of the one who gave
	// it. It must cover the way to the last node.
	Slack time.Duration
	// Floor is the part of each limit, 0 to 1, that is split evenly over all
	// nodes and never granted. A node always has its piece.
	Floor float64
	// Headroom is how much more than its demand a node is granted where there
	// is enough, so that it can grow between two reports.
	Headroom float64
	// Need is how much more than its demand a zone keeps before it lends to
	// others, and asks for. It is smaller than Headroom: the real demand of
	// others goes before growth at home.
	Need float64
	// KeepFree is the part of a zone's own part that is never lent to other
	// zones, so that a sudden rise at home finds something.
	KeepFree float64
	// UngrantedAfter is the time without any grant after which a node that has
	// demand takes its even piece of the whole limit in place of the floor. It
	// must be longer than LoanTTL and Slack together, so that all grants and
	// loans of a dead reader have expired.
	UngrantedAfter time.Duration
	// FallAfter is the number of intervals for which demand must have been
	// lower before a node asks for less. A longer one costs fewer messages at
	// low demand and keeps what is no longer needed for longer.
	FallAfter int
	// ZoneMembers is the least number of members that a zone is taken to
	// have. It bounds the floors of nodes that have just started and don't
	// see the others yet.
	ZoneMembers int
}

// DefaultConfig returns the policy that docs/design/limits.md measures.
func DefaultConfig() Config {
	return Config{
		Interval:       time.Second,
		TTL:            8 * time.Second,
		LoanTTL:        10 * time.Second,
		Slack:          500 * time.Millisecond,
		Floor:          0.1,
		Headroom:       1.5,
		Need:           1,
		KeepFree:       0.1,
		UngrantedAfter: 15 * time.Second,
		FallAfter:      20,
		ZoneMembers:    1,
	}
}
