package admit

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Config sets the policy of a Limiter: load shedding, fairness between classes
// and organisations, and retry delays.
type Config struct {
	// MaxInFlight is the largest number of requests in flight on the node; 0
	// sets no limit. It protects the node itself; backend servers are
	// protected by their gates.
	MaxInFlight int64
	// ShedEventual, ShedBulk, ShedInteractive and ShedNonRepeatable are the
	// fractions of MaxInFlight, 0 to 1, above which the node sheds requests of
	// a class of that kind. The least important kind has the lowest fraction.
	ShedEventual, ShedBulk, ShedInteractive, ShedNonRepeatable float64
	// FairBand is how far below the fraction of the request's kind the node
	// begins to shed requests of organisations over their weighted fair share,
	// as a fraction of MaxInFlight.
	FairBand float64
	// ClassFairnessThreshold is the fraction of an organisation's shared
	// concurrency in use, 0 to 1, above which a class over its weighted fair
	// share is refused.
	ClassFairnessThreshold float64
	// MinBurst is the smallest burst of a node's token bucket, in requests.
	// With 1, a node without a grant admits a first request, so the fleet may
	// exceed a limit's burst by one request for each node. With 0, the sum
	// over all nodes stays within the burst on average.
	MinBurst float64
	// MinConcurrency is the smallest concurrency of a node's share, in
	// requests in flight, with the same trade-off as MinBurst.
	MinConcurrency float64
	// RotateEvery is the period at which the nodes take turns with the
	// fractional slot of their concurrency: each node rounds its share up or
	// down for one period.
	RotateEvery time.Duration
	// ConcurrencyRetry is the Retry-After delay of a refusal for
	// concurrency, before jitter.
	ConcurrencyRetry time.Duration
	// ShedRetry is the Retry-After delay of a request that was shed, before
	// jitter.
	ShedRetry time.Duration
	// MinRetry and MaxRetry bound the Retry-After delay of a refusal for rate,
	// before jitter.
	MinRetry, MaxRetry time.Duration
	// MaxRetryUngranted replaces MaxRetry while the node has no grant of the
	// limit and its floor is less than the whole limit: a grant arrives sooner
	// than the next token of a small floor.
	MaxRetryUngranted time.Duration
	// Jitter is the largest random addition to a Retry-After delay, as a
	// fraction of the delay, so that refused callers don't retry all at once.
	Jitter float64
}

// DefaultConfig returns the default policy, whose effect docs/design/limits.md
// measures.
func DefaultConfig() Config {
	return Config{
		MaxInFlight:            4096,
		ShedEventual:           0.7,
		ShedBulk:               0.8,
		ShedInteractive:        0.95,
		ShedNonRepeatable:      1,
		FairBand:               0.1,
		ClassFairnessThreshold: 0.8,
		MinBurst:               1,
		MinConcurrency:         1,
		RotateEvery:            time.Second,
		ConcurrencyRetry:       500 * time.Millisecond,
		ShedRetry:              time.Second,
		MinRetry:               50 * time.Millisecond,
		MaxRetry:               30 * time.Second,
		MaxRetryUngranted:      2 * time.Second,
		Jitter:                 0.5,
	}
}

// shedThreshold returns the fraction of MaxInFlight above which requests of the
// kind are shed.
func (c *Config) shedThreshold(k model.ClassKind) float64 {
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
