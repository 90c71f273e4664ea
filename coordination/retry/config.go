package retry

import "time"

// Config holds the parameters of the retry policy.
type Config struct {
	// MaxAttempts limits the attempts of one request at one node, including the
	// first.
	MaxAttempts int
	// BackoffBase is the maximum backoff before the first retry; it doubles with
	// each further retry. The backoff is drawn uniformly from 0 to the maximum
	// (full jitter).
	BackoffBase time.Duration
	// BackoffMax limits the maximum backoff.
	BackoffMax time.Duration
	// MinLeft is the time that must be left before the deadline when a retry is
	// sent. With less, the retry could only fail.
	MinLeft time.Duration
	// MaxEarned limits the retries that a budget accumulates, so that a quiet
	// period does not permit a retry storm.
	MaxEarned int64
	// MinWindow is the time over which unused retries of MinPerSecond
	// accumulate.
	MinWindow time.Duration
}

// DefaultConfig returns the default policy; see docs/design/retries.md.
func DefaultConfig() Config {
	return Config{
		MaxAttempts: 3,
		BackoffBase: 25 * time.Millisecond,
		BackoffMax:  time.Second,
		MinLeft:     5 * time.Millisecond,
		MaxEarned:   50,
		MinWindow:   10 * time.Second,
	}
}
