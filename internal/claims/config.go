// Package claims ensures that a request with an Idempotency-Key runs at most
// once. It runs the state machine of coordination/claim against the platform's
// table service, batches the writes of one node into transactions and deletes
// expired records.
package claims

import (
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Config configures a Keeper.
type Config struct {
	// Node is this node's ID; each claim records it for the operator.
	Node model.NodeID
	// Incarnation is this node's incarnation.
	Incarnation uint64
	// Claim sets the limits of one request.
	Claim claim.Config
	// CallTimeout bounds one call to the table service.
	CallTimeout time.Duration
	// MaxBackground bounds the claims that wait to retry their last write. Beyond it a
	// claim is left as it is: its key stays blocked, so that its request never
	// runs twice.
	MaxBackground int
	// Batch configures the batching of writes into transactions.
	Batch BatchConfig
	// FailuresToStop is the number of failed calls in a row after which
	// requests are refused without a call to the table service.
	FailuresToStop int64
	// StopFor is how long requests are then refused before the table service is
	// called again.
	StopFor time.Duration
	// SweepPage is the largest number of records that one Sweep reads.
	SweepPage int
	// SweepPause is the time between two transactions of a Sweep, so that
	// deletes don't use up the write capacity that requests need.
	SweepPause time.Duration
}

// BatchConfig configures the batching of writes into transactions.
type BatchConfig struct {
	// Max is the largest number of writes in one transaction; 1 turns
	// batching off.
	Max int
	// Wait is the longest time that a claim is queued to share a transaction,
	// while InFlight allows another. With none in flight it is sent at once.
	Wait time.Duration
	// LazyWait is the longest time that the write of a request's outcome is
	// delayed to share a transaction; no caller waits for this write. A node
	// that crashes within it loses the response stored for retries.
	LazyWait time.Duration
	// InFlight is the largest number of transactions in flight.
	InFlight int
	// MaxQueue is the largest number of queued writes.
	MaxQueue int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Claim:          claim.DefaultConfig(),
		CallTimeout:    time.Second,
		MaxBackground:  1024,
		FailuresToStop: 3,
		StopFor:        time.Second,
		SweepPage:      500,
		SweepPause:     2 * time.Second,
		Batch: BatchConfig{
			Max:      25,
			Wait:     4 * time.Millisecond,
			LazyWait: 50 * time.Millisecond,
			InFlight: 4,
			MaxQueue: 4096,
		},
	}
}
