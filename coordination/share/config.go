package share

import "time"

// Config sets how the fleet-wide limits are divided among zones and nodes. All
// nodes of a fleet must use the same values.
type Config struct {
	// Interval is the time between two demand reports of a node.
	Interval time.Duration
	// TTL is how long a grant to a node is valid. It bounds how long a
	// disconnected node uses more than its floor. It should be longer than the
	// failover of a zone's reader takes.
	TTL time.Duration
	// LoanTTL is how long a loan between zones is valid. It must be at least the
	// sum of TTL, Slack and Interval, because a zone grants its nodes what it has
	// borrowed.
	LoanTTL time.Duration
	// Slack is how much longer than a grant's validity its issuer keeps the grant
	// in its ledger. It must cover the delay with which a grant reaches the last
	// node.
	Slack time.Duration
	// Floor is the fraction of each limit, 0 to 1, that is split evenly over all
	// nodes and never granted. A node may always use its share of the floor.
	Floor float64
	// Headroom is the factor by which a node's grant exceeds its demand where the
	// limit suffices, so that demand can grow between two reports.
	Headroom float64
	// LoanHeadroom is the factor applied to a zone's demand to get its need: the
	// amount that the zone keeps before it lends to other zones, and up to which
	// it borrows. It is smaller than Headroom: the actual demand of other zones
	// takes precedence over growth in the own zone.
	LoanHeadroom float64
	// LoanReserve is the fraction of a zone's own share that is never lent to
	// other zones, so that capacity is left for a sudden rise of the zone's own
	// demand.
	LoanReserve float64
	// FallbackAfter is the time without any grant after which a node that has
	// demand uses its even share of the whole limit instead of its share of the
	// floor. It must be longer than the sum of LoanTTL and Slack, so that all
	// grants and loans of a failed reader have expired.
	FallbackAfter time.Duration
	// DecreaseWindow is the number of intervals over which demand must have been
	// lower before a node reports less. A longer window costs fewer messages at
	// low demand, but holds capacity that is no longer needed for longer.
	DecreaseWindow int
	// ZoneMembers is the least number of members that a zone is assumed to have.
	// It bounds the floors of nodes that have just started and have not
	// discovered the other members yet.
	ZoneMembers int
}

// DefaultConfig returns the configuration that docs/design/limits.md measures.
func DefaultConfig() Config {
	return Config{
		Interval:       time.Second,
		TTL:            8 * time.Second,
		LoanTTL:        10 * time.Second,
		Slack:          500 * time.Millisecond,
		Floor:          0.1,
		Headroom:       1.5,
		LoanHeadroom:   1,
		LoanReserve:    0.1,
		FallbackAfter:  15 * time.Second,
		DecreaseWindow: 20,
		ZoneMembers:    1,
	}
}
