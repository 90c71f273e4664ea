// Package claims runs work that may not be repeated at most once. It drives
// the state machine of coordination/claim over the platform's table service,
// joins the writes of one node into transactions and collects old records.
package claims

import (
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Config configures a Keeper.
type Config struct {
	// Node is this node, named in each claim for the operator.
	Node model.NodeID
	// Incarnation is this node's incarnation.
	Incarnation uint64
	// Claim sets the limits of one request.
	Claim claim.Config
	// CallTimeout bounds one call to the table service.
	CallTimeout time.Duration
	// MaxBackground bounds the claims whose last write is being retried. Past
	// it a claim is left as it is: its key stays blocked, and never runs twice.
	MaxBackground int
	// Batch says how writes are joined into transactions.
	Batch BatchConfig
	// FailuresToStop is the number of failed calls in a row after which
	// requests are refused without asking the table service.
	FailuresToStop int64
	// StopFor is how long they are refused before the service is asked again.
	StopFor time.Duration
	// SweepPage is the number of records read by one Sweep.
	SweepPage int
	// SweepPause is the time between two transactions of a Sweep, so that
	// deletes don't take the table service's writes from requests.
	SweepPause time.Duration
}

// BatchConfig says how writes are joined into transactions.
type BatchConfig struct {
	// Max is the largest number of writes in one transaction; 1 turns
	// batching off.
	Max int
	// Wait is the longest time a claim waits behind a transaction that is in
	// flight. A claim that finds none in flight does not wait.
	Wait time.Duration
	// LazyWait is the longest time that the outcome of a request, for which
	// nobody waits, is held back to share a transaction. A node that dies
	// within it loses the answer kept for repeats.
	LazyWait time.Duration
	// InFlight bounds the transactions in flight.
	InFlight int
	// MaxQueue bounds the writes that wait.
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
