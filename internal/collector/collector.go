// Package collector tunes the garbage collector's GC percent and memory limit.
// A node's live heap is small, so with the runtime's default GC percent it is
// collected often; each collection takes processor time from the requests in
// flight, which raises their 99th percentile latency. Letting a small heap grow
// to a fixed size first makes collections rare at a small cost in memory; a
// large heap keeps the default GC percent.
package collector

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// Config configures Run.
type Config struct {
	// Goal is the heap size, in bytes, up to which a small heap may grow before
	// it is collected, as far as MaxPercent allows. It counts towards the memory of a node.
	Goal uint64
	// MaxPercent bounds the growth between two collections, in percent of the
	// live heap.
	MaxPercent int
	// Limit is the memory of the runtime, in bytes, near which it collects
	// sooner: garbage from a rare burst of work would otherwise stay in memory.
	// It is raised to one and a half times the live heap where that is more, so
	// that a large heap isn't collected continuously.
	Limit uint64
	// Interval is the time between two readings of the live heap size.
	Interval time.Duration
}

// DefaultConfig returns the settings of a node.
func DefaultConfig() Config {
	return Config{Goal: 24 << 20, MaxPercent: 400, Limit: 52 << 20, Interval: 5 * time.Second}
}

// defaultPercent is the runtime's default GC percent.
const defaultPercent = 100

// minPercentChange is the smallest change of the GC percent that is applied, in
// percentage points: each change briefly stops all goroutines.
const minPercentChange = 20

// Run adjusts the GC percent and the memory limit until ctx ends. It does
// nothing if the environment sets GOGC, and sets no memory limit if it sets
// GOMEMLIMIT.
func Run(ctx context.Context, cfg Config) error {
	if _, set := os.LookupEnv("GOGC"); set {
		<-ctx.Done()
		return nil
	}
	t := time.NewTicker(cfg.Interval)
	defer t.Stop()
	current := defaultPercent
	var limit int64
	_, limitSet := os.LookupEnv("GOMEMLIMIT")
	for {
		next := cfg.percent(liveHeap())
		if next-current >= minPercentChange || current-next >= minPercentChange {
			current = next
			debug.SetGCPercent(next)
		}
		if next := cfg.limit(liveHeap()); !limitSet && next != limit {
			limit = next
			debug.SetMemoryLimit(limit)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// percent returns the GC percent for a live heap of the given size in bytes.
func (c Config) percent(live uint64) int {
	if live == 0 {
		return c.MaxPercent // no collection has run yet
	}
	if live >= c.Goal {
		return defaultPercent
	}
	p := 100 * (c.Goal - live) / live
	return int(min(max(p, defaultPercent), uint64(c.MaxPercent)))
}

// limitStep is the granularity of the memory limit, in bytes: each change
// briefly stops all goroutines.
const limitStep = 8 << 20

// limit returns the memory limit, in bytes, for a live heap of the given size in
// bytes.
func (c Config) limit(live uint64) int64 {
	steps := (live*3/2 + limitStep - 1) / limitStep
	return int64(max(c.Limit, steps*limitStep))
}

// liveHeap returns the size of the live heap at the last collection, in bytes, or
// 0 if the runtime doesn't report it.
func liveHeap() uint64 {
	s := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(s)
	if s[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return s[0].Value.Uint64()
}
