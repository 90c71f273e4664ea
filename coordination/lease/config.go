package lease

import "time"

// Config holds the settings of a Core. All nodes must use the same Duration
// and Margin.
type Config struct {
	// Duration is how long a lease lasts after the write that renewed it was
	// sent.
	Duration time.Duration
	// Margin is how much longer than Duration a candidate waits. It must
	// exceed the drift between two clocks within Duration.
	Margin time.Duration
	// RenewInterval is the time between two renewals; at most a third of
	// Duration, so that a single lost response doesn't lose the lease.
	RenewInterval time.Duration
	// WatchInterval is the mean time between two reads by a candidate.
	WatchInterval time.Duration
	// AnswerTimeout is the time after which a read or write without a response
	// counts as lost.
	AnswerTimeout time.Duration
	// RetryInterval is the mean wait after a read or write that failed.
	RetryInterval time.Duration
}

// DefaultConfig returns the settings for the design size. A reader that crashes
// is replaced within about Duration + Margin + WatchInterval.
func DefaultConfig() Config {
	return Config{
		Duration:      6 * time.Second,
		Margin:        time.Second,
		RenewInterval: 2 * time.Second,
		WatchInterval: 2 * time.Second,
		AnswerTimeout: 1500 * time.Millisecond,
		RetryInterval: 500 * time.Millisecond,
	}
}
