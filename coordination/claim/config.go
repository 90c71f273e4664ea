package claim

import "time"

// Config sets a Machine's limits.
type Config struct {
	// MaxWrites bounds the tries to write the claim while the caller waits.
	MaxWrites int
	// DispatchWithin is how long after its start a request may be sent. It
	// must be far below RetainFor: an owner that was paused for longer must
	// not send, since its record may have been collected meanwhile.
	DispatchWithin time.Duration
	// RunLimit is the longest time a request may run. A claim that is older
	// will get no answer any more.
	RunLimit time.Duration
	// InProgressRetry is the Retry-After of a repeat while the first request
	// runs.
	InProgressRetry time.Duration
	// PlatformRetry is the Retry-After while the platform is away.
	PlatformRetry time.Duration
	// SettleRetry is the first wait between tries of background work; it
	// doubles up to SettleRetryMax.
	SettleRetry time.Duration
	// SettleRetryMax is the longest wait between tries of background work.
	SettleRetryMax time.Duration
	// SettleFor is how long after its start a request may still write its
	// record. It must be far below RetainFor.
	SettleFor time.Duration
	// RetainFor is how long a record is kept, and so how long a key is
	// protected.
	RetainFor time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		MaxWrites:       3,
		DispatchWithin:  30 * time.Second,
		RunLimit:        2 * time.Minute,
		InProgressRetry: time.Second,
		PlatformRetry:   2 * time.Second,
		SettleRetry:     500 * time.Millisecond,
		SettleRetryMax:  30 * time.Second,
		SettleFor:       time.Hour,
		RetainFor:       24 * time.Hour,
	}
}
