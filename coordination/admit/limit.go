package admit

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthgate/jacinthgate/coordination/bucket"
	"github.com/jacinthgate/jacinthgate/coordination/random"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Share is the node's grant of one fleet-wide limit, in addition to the floor,
// which it may always use.
type Share struct {
	// PerSecond is the rate in requests per second.
	PerSecond float64
	// Concurrency is the number of requests in flight; it need not be whole.
	Concurrency float64
}

// limit is the node's state of one fleet-wide limit, of an organisation or of a
// class. It is kept when a new version of the contract changes the limit's rate or
// concurrency.
type limit struct {
	name  string
	hash  uint64
	share atomic.Pointer[Share] // nil: no grant, only the floor

	tokens       bucket.Bucket
	inFlight     atomic.Int64 // all requests in flight
	reserved     atomic.Int64 // a class's requests in flight within its reserve
	shared       atomic.Int64 // an organisation's requests in flight outside its classes' reserves
	activeWeight atomic.Int64 // sum of the weights of an organisation's active classes, set by Tick

	offered    atomic.Uint64 // requests since the limit was created, refused ones included
	released   atomic.Uint64 // requests released since the limit was created
	heldNanos  atomic.Int64  // sum of the released requests' times in flight
	lastSample demandSample  // guarded by Limiter.mu
}

// demandSample holds a limit's counters as they were at the last Demand.
type demandSample struct {
	offered         uint64
	released        uint64
	heldNanos       int64
	meanHoldSeconds float64 // mean time that a request was in flight
}

func newLimit(name string) *limit { return &limit{name: name, hash: xxhash.Sum64String(name)} }

// bucketSize returns the refill rate and burst of the node's token bucket for a
// fleet-wide rate, from the floor and the node's grant.
func (l *limit) bucketSize(cfg *Config, r model.Rate, floor float64) bucket.Size {
	fraction := floor
	if s := l.share.Load(); s != nil {
		fraction = min(1, fraction+s.PerSecond/r.PerSecond)
	}
	return bucket.Size{PerSecond: r.PerSecond * fraction, Burst: max(float64(r.Burst)*fraction, cfg.MinBurst)}
}

// concurrencyFraction returns the node's fraction of a fleet-wide concurrency, 0
// to 1, from the floor and the node's grant.
func (l *limit) concurrencyFraction(concurrency int, floor float64) float64 {
	if s := l.share.Load(); s != nil && concurrency > 0 {
		return min(1, floor+s.Concurrency/float64(concurrency))
	}
	return floor
}

// slots rounds the node's concurrency to the whole number of requests in flight
// that it allows now, at least MinConcurrency. In each period of RotateEvery, the
// share of nodes that round up equals the fractional part. Which nodes do depends
// on the limit, the node's seed and the period only, so a caller that retries
// within the period gets the same result.
func (l *limit) slots(cfg *Config, concurrency float64, seed uint64, now time.Time) int64 {
	concurrency = max(concurrency, cfg.MinConcurrency)
	whole := math.Floor(concurrency)
	fraction := concurrency - whole
	if fraction == 0 {
		return int64(whole)
	}
	period := uint64(now.UnixNano() / int64(cfg.RotateEvery))
	if random.Unit(random.Mix(random.Mix(l.hash^seed)+period)) < fraction {
		whole++
	}
	return int64(whole)
}

// add increments n unless it has reached maximum, and reports whether it did.
func add(n *atomic.Int64, maximum int64) bool {
	if n.Add(1) <= maximum {
		return true
	}
	n.Add(-1)
	return false
}
