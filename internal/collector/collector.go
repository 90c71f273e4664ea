// Package collector sets the pace of the garbage collector. A node's live heap
// is small, so the runtime's default pace collects often: each collection takes
// processor time from the requests in flight, which shows in their slowest
// percent. Letting a small heap grow to a fixed size first makes collections
// rare without much memory; a large heap keeps the default pace.
package collector

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// Config sets the pace.
type Config struct {
	// Goal is the size of the heap, in bytes, below which it is not collected.
	// It counts towards the memory of a node.
	Goal uint64
	// MaxPercent bounds the growth between two collections, in percent of the
	// live heap.
	MaxPercent int
	// Limit is the memory of the runtime, in bytes, near which it collects
	// sooner: what a rare burst of work leaves behind would otherwise stay in
	// memory. It gives way to one and a half times the live heap, so that a
	// large heap doesn't keep the collector busy.
	Limit uint64
	// Interval is the time between two looks at the live heap.
	Interval time.Duration
}

// DefaultConfig returns the settings of a node.
func DefaultConfig() Config {
	return Config{Goal: 24 << 20, MaxPercent: 400, Limit: 52 << 20, Interval: 5 * time.Second}
}

// defaultPercent is the runtime's own pace.
const defaultPercent = 100

// step is the least change of the pace worth making, in percent: a change
// stops all goroutines for a moment.
const step = 20

// Run adjusts the pace until ctx ends. It does nothing where the environment
// sets GOGC, and sets no limit where it sets GOMEMLIMIT.
func Run(ctx context.Context, cfg Config) error {
	if _, set := os.LookupEnv("GOGC"); set {
		<-ctx.Done()
		return nil
	}
	t := time.NewTicker(cfg.Interval)
	defer t.Stop()
	current := defaultPercent
	var limit int64
	_, limited := os.LookupEnv("GOMEMLIMIT")
	for {
		next := cfg.percent(live())
		if next-current >= step || current-next >= step {
			current = next
			debug.SetGCPercent(next)
		}
		if next := cfg.limit(live()); !limited && next != limit {
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

// percent returns the pace for a live heap, in bytes.
func (c Config) percent(live uint64) int {
	if live == 0 {
		return c.MaxPercent // nothing was collected yet
	}
	if live >= c.Goal {
		return defaultPercent
	}
	p := 100 * (c.Goal - live) / live
	return int(min(max(p, defaultPercent), uint64(c.MaxPercent)))
}

// limitStep is the least change of the limit, in bytes, as a change stops all
// goroutines for a moment.
const limitStep = 8 << 20

// limit returns the memory limit for a live heap, in bytes.
func (c Config) limit(live uint64) int64 {
	steps := (live*3/2 + limitStep - 1) / limitStep
	return int64(max(c.Limit, steps*limitStep))
}

// live returns the bytes that the last collection found in use.
func live() uint64 {
	s := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(s)
	if s[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return s[0].Value.Uint64()
}
