// Package collect decides which superseded objects and records of the
// configuration may be removed.
//
// A version may go when it is far behind a head that was seen long enough ago.
// Both bounds are counted from this process's own observations, so the decision
// needs no lease and no agreement on time: any number of collectors may run, and
// one that was paused only removes less than it could.
package collect

import (
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
)

// Config sets what is kept.
type Config struct {
	// KeepVersions is the number of newest versions whose objects are kept.
	// It must be more than accept.RecentLength, or a delta that leads to the
	// head could be missing.
	KeepVersions uint64
	// KeepRecords is the number of newest changes whose records are kept. A
	// change id is recognised as a repeat within them: 100,000 are nine days
	// at 11,000 changes a day.
	KeepRecords uint64
	// MinAge is how long a version stays after a later head was seen, so that
	// a node that is loading it slowly can finish.
	MinAge time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		KeepVersions: 4 * accept.RecentLength,
		KeepRecords:  100_000,
		MinAge:       10 * time.Minute,
	}
}

// sightingsPerAge is the number of sightings kept for MinAge; more only make
// removal a little earlier.
const sightingsPerAge = 8

// sighting is a head as it was seen.
type sighting struct {
	at   time.Time
	head uint64
}

// Collector decides what may be removed. It is not safe for concurrent use.
type Collector struct {
	cfg       Config
	sightings []sighting // oldest first
}

// New returns a collector that has seen nothing and allows no removal yet.
func New(cfg Config) *Collector { return &Collector{cfg: cfg} }

// Observe records the version of a head that was read with a consistent read
// begun no later than now.
func (c *Collector) Observe(now time.Time, head uint64) {
	if n := len(c.sightings); n > 0 && now.Sub(c.sightings[n-1].at) < c.cfg.MinAge/sightingsPerAge {
		return
	}
	c.sightings = append(c.sightings, sighting{at: now, head: head})
	for len(c.sightings) > 1 && now.Sub(c.sightings[1].at) >= c.cfg.MinAge {
		c.sightings = c.sightings[1:]
	}
}

// settled returns the newest head that was seen at least MinAge ago; 0 for
// none.
func (c *Collector) settled(now time.Time) uint64 {
	var head uint64
	for _, s := range c.sightings {
		if now.Sub(s.at) >= c.cfg.MinAge {
			head = s.head
		}
	}
	return head
}

// Objects returns those of the keys that may be removed. Keys that are no
// version's object stay, and so do all versions after the head: one of them may
// be about to be accepted.
func (c *Collector) Objects(now time.Time, keys []string) []string {
	head := c.settled(now)
	var old []string
	for _, key := range keys {
		version, ok := accept.ObjectVersion(key)
		if ok && version+c.cfg.KeepVersions <= head {
			old = append(old, key)
		}
	}
	return old
}

// Record reports whether the record of a change that was accepted in the given
// version may be removed.
func (c *Collector) Record(now time.Time, version uint64) bool {
	return version+c.cfg.KeepRecords <= c.settled(now)
}
