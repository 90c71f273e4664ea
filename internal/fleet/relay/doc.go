// Package relay passes the traffic between real processes on loopback through
// one place where it can be cut, so that tests see what a network partition
// does. It is a tool for tests and measurements.
package relay

import "sync"

// Side names one side of a cut: an availability zone or the platform.
type Side string

// Cuts tells which sides can't reach each other. It is safe for concurrent use.
type Cuts struct {
	mu  sync.RWMutex
	cut map[pair]bool
}

// pair is two sides in order of name.
type pair struct{ a, b Side }

func pairOf(a, b Side) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

// NewCuts returns a network without a cut.
func NewCuts() *Cuts { return &Cuts{cut: make(map[pair]bool)} }

// Cut separates two sides in both directions.
func (c *Cuts) Cut(a, b Side) { c.set(a, b, true) }

// Heal joins two sides again.
func (c *Cuts) Heal(a, b Side) { c.set(a, b, false) }

func (c *Cuts) set(a, b Side, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[pairOf(a, b)] = cut
}

// Severed reports whether two sides can't reach each other.
func (c *Cuts) Severed(a, b Side) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.cut[pairOf(a, b)]
}
