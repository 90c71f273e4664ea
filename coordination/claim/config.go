package claim

import "time"

// Config holds the limits and delays of a Machine.
type Config struct {
	// MaxWrites bounds the attempts to write the claim while the caller waits.
	MaxWrites int
	// DispatchWithin is how long after its start a request may be sent. It
	// must be far below RetainFor: an owner that resumes from a longer pause
	// must not send, since its record may have been deleted meanwhile.
	DispatchWithin time.Duration
	// RunLimit is the longest time that a request may run. An older claim
	// without a response never gets one.
	RunLimit time.Duration
	// InProgressRetryAfter is the Retry-After delay of a retry while the first
	// request runs.
	InProgressRetryAfter time.Duration
	// PlatformRetryAfter is the Retry-After delay while the table service is
	// unavailable.
	PlatformRetryAfter time.Duration
	// SettleRetryMin is the first backoff of settling, the background work that
	// writes the final record or releases the claim. It doubles up to
	// SettleRetryMax.
	SettleRetryMin time.Duration
	// SettleRetryMax bounds the backoff of settling.
	SettleRetryMax time.Duration
	// SettleFor is how long after its start a request may still write its
	// record. It must be far below RetainFor, so that the record has not been
	// deleted and created anew for a later request.
	SettleFor time.Duration
	// RetainFor is how long a record is kept, and so how long a key is
	// protected against a second run.
	RetainFor time.Duration
}

// DefaultConfig returns the default limits and delays.
func DefaultConfig() Config {
	return Config{
		MaxWrites:            3,
		DispatchWithin:       30 * time.Second,
		RunLimit:             2 * time.Minute,
		InProgressRetryAfter: time.Second,
		PlatformRetryAfter:   2 * time.Second,
		SettleRetryMin:       500 * time.Millisecond,
		SettleRetryMax:       30 * time.Second,
		SettleFor:            time.Hour,
		RetainFor:            24 * time.Hour,
	}
}
