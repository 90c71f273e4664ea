package accept

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Config sets the deadline, retries and size limits of a Machine.
type Config struct {
	// Deadline bounds the time for one change, so that the operator gets an
	// outcome even while the platform is unreachable.
	Deadline time.Duration
	// MaxConflicts bounds how often the transaction of one change may fail
	// because the head was moved by another change.
	MaxConflicts int
	// RetryMin bounds the delay before the first retry. The bound doubles with
	// each retry up to RetryMax; the delay is drawn at random below it, so that
	// competing accepters spread out.
	RetryMin time.Duration
	// RetryMax bounds the delay before any retry.
	RetryMax time.Duration
	// MaxFull is the largest size of an encoded full version in bytes. It
	// bounds what a starting node has to load.
	MaxFull int
	// MaxDelta is the largest size of the encoded delta of one change in bytes.
	MaxDelta int
	// Validate checks the documents of a change without regard to the current
	// version. It is called before anything is read from the platform.
	Validate func(*model.Batch) error
	// Seed seeds the random delays.
	Seed uint64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Deadline:     10 * time.Second,
		MaxConflicts: 64,
		RetryMin:     20 * time.Millisecond,
		RetryMax:     time.Second,
		MaxFull:      16 << 20,
		MaxDelta:     4 << 20,
		Validate:     (*model.Batch).Validate,
	}
}
