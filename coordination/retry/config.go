package retry

import "time"

// Config sets the retry policy.
type Config struct {
	// MaxAttempts bounds the attempts of one request at one node, the first
	// included.
	MaxAttempts int
	// BackoffBase is the longest wait before the first retry; it doubles with
	// each further one. The wait is drawn evenly from 0 to it (full jitter).
	BackoffBase time.Duration
	// BackoffMax bounds the longest wait.
	BackoffMax time.Duration
	// MinLeft is the time that must be left of the deadline when a retry is
	// sent; a shorter one could only fail.
	MinLeft time.Duration
	// MaxEarned bounds the retries that a budget saves up, so that a quiet
	// time does not pay for a storm.
	MaxEarned int64
	// MinWindow is the time for which the retries of MinPerSecond are saved
	// up.
	MinWindow time.Duration
}

// DefaultConfig returns the policy that docs/design/retries.md measures.
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
