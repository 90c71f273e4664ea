package freshness

import "time"

// Config holds the parameters of the core and of Proof.
type Config struct {
	// Bound is how long after its acknowledgement a version may not be in force yet.
	Bound time.Duration
	// Margin is kept from Bound. It pays for clocks that run at different rates over
	// MaxSpan and Bound, and for stamps that are rounded to milliseconds at each of the
	// links that a proof takes.
	Margin time.Duration
	// RecentWithin is the age of a proof up to which a key that isn't held is unknown, and
	// not new.
	RecentWithin time.Duration
	// SendInterval is the least time between two messages to a peer.
	SendInterval time.Duration
	// Gain is by how much a proof must be younger than what the peer has to be sent.
	Gain time.Duration
	// StampInterval is the longest time between two messages to a peer: stamps are to be
	// young, so that clocks that run at different rates differ little since.
	StampInterval time.Duration
	// MaxSpan bounds the time between a stamp's arrival and a proof that refers to it.
	MaxSpan time.Duration
	// Settle is how long after the store came back older no read proves anything:
	// operators' rows may be missing.
	Settle time.Duration
}

const (
	// readsPerBound is how many reads follow each other within the bound: a proof is as
	// old as two of them just before the next one, and half of the bound is left for
	// passing it on.
	readsPerBound = 4
	// lateWaitPart is the part of the bound that a read may wait while the proof is late.
	lateWaitPart = 20
	// hurryBounds is for how many bounds without a proof reads are hurried: after that there
	// is a lasting reason.
	hurryBounds = 2
	// gainPart is the part of the bound by which a proof must be younger to be sent.
	gainPart = 8
	// recentPart is the part of the bound up to which a proof is recent: as long as two
	// reads take.
	recentPart = 2
)

// DefaultConfig returns the parameters for a bound.
func DefaultConfig(bound time.Duration) Config {
	return Config{
		Bound:         bound,
		Margin:        100 * time.Millisecond,
		RecentWithin:  bound / recentPart,
		SendInterval:  400 * time.Millisecond,
		Gain:          bound / gainPart,
		StampInterval: 5 * time.Second,
		MaxSpan:       30 * time.Second,
		Settle:        2 * time.Second,
	}
}
