package accept

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Config sets a Machine's limits.
type Config struct {
	// Deadline bounds the time for one change, so that the operator is told
	// an outcome while the platform is away.
	Deadline time.Duration
	// MaxConflicts bounds how often the head may be moved by others while
	// the change is prepared.
	MaxConflicts int
	// RetryMin is the largest first wait before another try. It doubles with
	// each try; the actual wait is random, so that accepters that race each
	// other spread out.
	RetryMin time.Duration
	// RetryMax is the largest wait before another try.
	RetryMax time.Duration
	// MaxFull is the largest encoded whole version in bytes. It bounds what a
	// node that starts has to load.
	MaxFull int
	// MaxDelta is the largest encoded delta of one change in bytes.
	MaxDelta int
	// Validate checks the documents of a change on their own. It is called
	// before anything is read.
	Validate func(*model.Batch) error
	// Seed seeds the random waits.
	Seed uint64
}

// DefaultConfig returns the defaults.
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
