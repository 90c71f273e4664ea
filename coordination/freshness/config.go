package freshness

import "time"

// Config holds the parameters of Core and of Proof.
type Config struct {
	// Bound is the maximum time from the acknowledgement of a version until nodes that
	// lack it stop admitting requests.
	Bound time.Duration
	// Margin is subtracted from Bound. It covers clocks that run at different rates over
	// MaxStampAge and Bound, and the rounding of stamps to milliseconds at each link that a
	// proof crosses.
	Margin time.Duration
	// RecentWithin is the maximum age of a proof at which a key that the node doesn't hold
	// is taken to be unknown; with an older proof the key may be a new one.
	RecentWithin time.Duration
	// SendInterval is the minimum time from any message to a peer until the next proof is
	// sent to it. The first proof on a link is exempt.
	SendInterval time.Duration
	// MinGain is by how much a proof must be later than the one that the peer has to be
	// sent to it.
	MinGain time.Duration
	// StampInterval is the maximum time between two messages to a peer. It keeps stamps
	// recent, so that clocks that run at different rates have drifted little since.
	StampInterval time.Duration
	// MaxStampAge bounds the time between a stamp's arrival and a proof that refers to it,
	// in either direction.
	MaxStampAge time.Duration
	// SettleTime is the time after a restore of the store from an older copy during which
	// reads prove nothing: rows that operators wrote may still be missing.
	SettleTime time.Duration
}

const (
	// readsPerBound is the number of consecutive reads within Bound. Just before the next
	// proof arrives, the current one is as old as two reads take, which leaves half of Bound
	// for propagation.
	readsPerBound = 4
	// lateWaitDivisor gives the longest wait of a read while the proof is late, as
	// Bound / lateWaitDivisor.
	lateWaitDivisor = 20
	// fastReadBounds is the age of the proof, in units of Bound, from which reads are no
	// longer accelerated: by then the cause is a lasting one.
	fastReadBounds = 2
	// gainDivisor gives MinGain as Bound / gainDivisor.
	gainDivisor = 8
	// recentDivisor gives RecentWithin as Bound / recentDivisor: the time of two reads.
	recentDivisor = 2
)

// DefaultConfig returns the parameters for a given bound.
func DefaultConfig(bound time.Duration) Config {
	return Config{
		Bound:         bound,
		Margin:        100 * time.Millisecond,
		RecentWithin:  bound / recentDivisor,
		SendInterval:  400 * time.Millisecond,
		MinGain:       bound / gainDivisor,
		StampInterval: 5 * time.Second,
		MaxStampAge:   30 * time.Second,
		SettleTime:    2 * time.Second,
	}
}
