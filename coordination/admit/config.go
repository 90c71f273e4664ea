package admit

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Config sets a Limiter's policy.
type Config struct {
	// MaxInFlight is the number of requests in flight that the node takes. 0
	// sets no limit. It protects the node itself; backend servers are
	// protected by their gates.
	MaxInFlight int64
	// ShedEventual, ShedBulk, ShedInteractive and ShedNonRepeatable are the
	// parts of MaxInFlight, 0 to 1, at which requests of the kind are shed.
	// The least important kind has the lowest.
	ShedEventual, ShedBulk, ShedInteractive, ShedNonRepeatable float64
	// FairBand is how far below its kind's part an organisation over its weighted
	// fair share is shed already.
	FairBand float64
	// ClassPressure is the part of an organisation's shared concurrency from which
	// a class over its weighted share is refused.
	ClassPressure float64
	// MinBurst is the smallest bucket of a node's share, in requests. With 1 a
	// node that has no grant yet lets a first request through; the fleet may
	// then exceed a burst by one request for each node. With 0 the sum over
	// all nodes stays within the burst on average.
	MinBurst float64
	// MinConcurrency is the smallest concurrency of a node's share, in
	// requests, with the same trade as MinBurst.
	MinConcurrency float64
	// RotateEvery is how long a node holds a fractional request of
	// concurrency before it passes to other nodes.
	RotateEvery time.Duration
	// ConcurrencyRetry is the time to come back after a refusal for
	// concurrency, before jitter.
	ConcurrencyRetry time.Duration
	// ShedRetry is the time to come back after shedding, before jitter.
	ShedRetry time.Duration
	// MinRetry and MaxRetry bound the time to come back after a refusal for
	// rate.
	MinRetry, MaxRetry time.Duration
	// GrantWait bounds that time while no share is granted: a grant comes
	// sooner than the refill of a small floor.
	GrantWait time.Duration
	// Jitter is the largest part added at random to a time to come back, so
	// that refused callers don't return together.
	Jitter float64
}

// DefaultConfig returns the policy that docs/design/limits.md measures.
func DefaultConfig() Config {
	return Config{
		MaxInFlight:       4096,
		ShedEventual:      0.7,
		ShedBulk:          0.8,
		ShedInteractive:   0.95,
		ShedNonRepeatable: 1,
		FairBand:          0.1,
		ClassPressure:     0.8,
		MinBurst:          1,
		MinConcurrency:    1,
		RotateEvery:       time.Second,
		ConcurrencyRetry:  500 * time.Millisecond,
		ShedRetry:         time.Second,
		MinRetry:          50 * time.Millisecond,
		MaxRetry:          30 * time.Second,
		GrantWait:         2 * time.Second,
		Jitter:            0.5,
	}
}

// shedAt returns the part of MaxInFlight at which the kind is shed.
func (c *Config) shedAt(k model.ClassKind) float64 {
	switch k {
	case model.KindNonRepeatable:
		return c.ShedNonRepeatable
	case model.KindInteractive:
		return c.ShedInteractive
	case model.KindBulk:
		return c.ShedBulk
	default:
		return c.ShedEventual
	}
}
