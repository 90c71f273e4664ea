package lease

import "time"

// Config holds the settings of a Core. All nodes must use the same Duration
// and Margin.
type Config struct {
	// Duration is how long a lease lasts after the write that renewed it was
	// sent.
	Duration time.Duration
	// Margin is how much longer a candidate waits. It must exceed what two
	// clocks can drift apart within Duration.
	Margin time.Duration
	// RenewInterval is the time between two renewals; at most a third of
	// Duration, so that one lost answer doesn't cost the lease.
	RenewInterval time.Duration
	// WatchInterval is the time between two reads of a candidate.
	WatchInterval time.Duration
	// AnswerTimeout is when a read or write without an answer counts as lost.
	AnswerTimeout time.Duration
	// RetryInterval is the wait after a read or write that failed.
	RetryInterval time.Duration
}

// DefaultConfig returns the settings for the design size: a reader that dies is
// replaced in about Duration, Margin and one WatchInterval.
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
