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

// Share is what is granted to this node of one fleet-wide limit, on top of the
// floor that it always has.
type Share struct {
	// PerSecond is the rate in requests per second.
	PerSecond float64
	// Concurrency is the number of requests in flight; it may be a fraction.
	Concurrency float64
}

// limit is the state of one limit. It outlives versions of the contract that
// change the limit's numbers.
type limit struct {
	name  string
	hash  uint64
	share atomic.Pointer[Share] // nil: no grant, only the floor

	tokens   bucket.Bucket
	inFlight atomic.Int64 // all requests
	reserved atomic.Int64 // those on a class's reserve
	shared   atomic.Int64 // those of an organisation on no reserve
	weights  atomic.Int64 // of an organisation's active classes, set by Tick

	offered  atomic.Uint64 // requests since the start
	released atomic.Uint64 // requests ended since the start
	held     atomic.Int64  // nanoseconds that they took
	last     measured      // of the writer
}

// measured is the state of the counters at the last Demand.
type measured struct {
	offered  uint64
	released uint64
	held     int64
	hold     float64 // seconds for each request
}

func newLimit(name string) *limit { return &limit{name: name, hash: xxhash.Sum64String(name)} }

// size returns the node's bucket for a fleet-wide rate.
func (l *limit) size(cfg *Config, r model.Rate, floor float64) bucket.Size {
	part := floor
	if s := l.share.Load(); s != nil {
		part = min(1, part+s.PerSecond/r.PerSecond)
	}
	return bucket.Size{PerSecond: r.PerSecond * part, Burst: max(float64(r.Burst)*part, cfg.MinBurst)}
}

// part returns the node's part of a fleet-wide concurrency, 0 to 1.
func (l *limit) part(concurrency int, floor float64) float64 {
	if s := l.share.Load(); s != nil && concurrency > 0 {
		return min(1, floor+s.Concurrency/float64(concurrency))
	}
	return floor
}

// slots returns the whole number of requests in flight that a concurrency of x
// allows now. The fraction is held for one period by as large a part of the
// nodes, in turns that depend on the node's seed, so that asking again does
// not help.
func (l *limit) slots(cfg *Config, x float64, seed uint64, now time.Time) int64 {
	x = max(x, cfg.MinConcurrency)
	whole := math.Floor(x)
	fraction := x - whole
	if fraction == 0 {
		return int64(whole)
	}
	period := uint64(now.UnixNano() / int64(cfg.RotateEvery))
	if random.Unit(random.Mix(random.Mix(l.hash^seed)+period)) < fraction {
		whole++
	}
	return int64(whole)
}

// add counts n up by one unless it has reached the limit.
func add(n *atomic.Int64, most int64) bool {
	if n.Add(1) <= most {
		return true
	}
	n.Add(-1)
	return false
}
