// Package registry decides which nodes write their address into the platform's
// store, where nodes that start look for others.
//
// A node needs one address that answers, not all of them: membership tells it the
// rest. So a few nodes of each availability zone register, and the store takes a
// number of writes that doesn't grow with the fleet when all of it starts at once.
package registry

import "time"

// Config holds the parameters.
type Config struct {
	// PerZone is the number of registered nodes from which further ones of the
	// zone don't register.
	PerZone int
	// MinPerZone is the number of registered nodes of the zone below which any node registers
	// at once, so that others can find it. From there up to PerZone, nodes register by rank.
	MinPerZone int
	// RankAfter is how long a node waits before it registers by rank or as alone:
	// until then it may not know the members of its zone.
	RankAfter time.Duration
	// Keepers is the number of live members of a zone, first in the order of keys,
	// that register in any case: the registered ones may all be gone.
	Keepers int
	// KeepAfter is how long a node waits before it registers as a keeper: until
	// then it may not know those before it.
	KeepAfter time.Duration
	// Spread is the time over which the nodes of a site that starts for the first
	// time look for each other, so that those who come later find the earlier ones
	// registered.
	Spread time.Duration
}

// DefaultConfig returns parameters for sites of ten to some thousand hosts.
func DefaultConfig() Config {
	return Config{
		PerZone:    8,
		MinPerZone: 1,
		RankAfter:  2 * time.Second,
		Keepers:    2,
		KeepAfter:  5 * time.Second,
		Spread:     time.Second,
	}
}

// StartDelay returns when a node first looks for others after its start. first says
// that the whole site starts for the first time; lot is a random number below 1.
func (c Config) StartDelay(first bool, lot float64) time.Duration {
	if !first {
		return 0
	}
	return time.Duration(lot * float64(c.Spread))
}

// View is what a node knows when it decides.
type View struct {
	// Listed is the number of registered nodes of the own zone, live or not.
	Listed int
	// Rank is the node's place among the live members of its zone.
	Rank int
	// Age is the time since the node's start.
	Age time.Duration
	// Alone says that the node has found nobody.
	Alone bool
}

// Register reports whether the node writes its address.
func (c Config) Register(v View) bool {
	switch {
	case v.Listed < c.MinPerZone, v.Alone && v.Age >= c.RankAfter:
		return true
	case v.Listed < c.PerZone:
		return v.Rank < c.PerZone-c.MinPerZone && v.Age >= c.RankAfter
	default:
		return v.Rank < c.Keepers && v.Age >= c.KeepAfter
	}
}
