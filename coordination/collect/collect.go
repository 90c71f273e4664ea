// Package collect decides which superseded objects and records of the
// configuration may be removed.
//
// A version may be removed once it is KeepVersions or more behind a head that was
// observed at least MinAge ago. Both bounds are computed from this process's own
// observations, so the decision needs neither a lease nor synchronised clocks: any
// number of collectors may run, and one that was paused only removes less than it
// could.
package collect

import (
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
)

// Config sets the retention.
type Config struct {
	// KeepVersions is the number of newest versions whose objects are kept.
	// It must be more than accept.RecentLength, or a delta that leads to the
	// head could be missing.
	KeepVersions uint64
	// KeepRecords is the number of newest changes whose records are kept. Among
	// them a repeated change id is detected: 100,000 changes are nine days at
	// 11,000 changes a day.
	KeepRecords uint64
	// MinAge is how long a version is kept after a later head was observed, so
	// that a node that loads it slowly can finish.
	MinAge time.Duration
}

// DefaultConfig returns the default retention.
func DefaultConfig() Config {
	return Config{
		KeepVersions: 4 * accept.RecentLength,
		KeepRecords:  100_000,
		MinAge:       10 * time.Minute,
	}
}

// observationsPerMinAge is the number of observations kept per MinAge. More would
// only make removal slightly earlier.
const observationsPerMinAge = 8

// observation is the version of the head at a time.
type observation struct {
	at   time.Time
	head uint64
}

// Collector decides what may be removed. It is not safe for concurrent use.
type Collector struct {
	cfg          Config
	observations []observation // oldest first
}

// New returns a collector without observations, which allows no removal yet.
func New(cfg Config) *Collector { return &Collector{cfg: cfg} }

// Observe records the version of the head as returned by a consistent read that
// began no later than now.
func (c *Collector) Observe(now time.Time, head uint64) {
	if n := len(c.observations); n > 0 && now.Sub(c.observations[n-1].at) < c.cfg.MinAge/observationsPerMinAge {
		return
	}
	c.observations = append(c.observations, observation{at: now, head: head})
	for len(c.observations) > 1 && now.Sub(c.observations[1].at) >= c.cfg.MinAge {
		c.observations = c.observations[1:]
	}
}

// settledHead returns the version of the newest head that was observed at least
// MinAge ago; 0 if there is none.
func (c *Collector) settledHead(now time.Time) uint64 {
	var head uint64
	for _, o := range c.observations {
		if now.Sub(o.at) >= c.cfg.MinAge {
			head = o.head
		}
	}
	return head
}

// RemovableObjects returns the keys, out of the given ones, of the objects that may be
// removed. It keeps keys that don't belong to a version, and all versions after
// the head, as one of them may be about to be accepted.
func (c *Collector) RemovableObjects(now time.Time, keys []string) []string {
	head := c.settledHead(now)
	var removable []string
	for _, key := range keys {
		version, ok := accept.ObjectVersion(key)
		if ok && version+c.cfg.KeepVersions <= head {
			removable = append(removable, key)
		}
	}
	return removable
}

// RecordRemovable reports whether the record of a change that was accepted in the given
// version may be removed.
func (c *Collector) RecordRemovable(now time.Time, version uint64) bool {
	return version+c.cfg.KeepRecords <= c.settledHead(now)
}
