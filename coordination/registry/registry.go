// Package registry decides which nodes register, that is, write their address to the
// platform's store, from which starting nodes read the addresses of others.
//
// A starting node needs one address that responds, not all of them: it receives the
// rest by the membership protocol. So only a few nodes of each availability zone
// register, and the number of writes to the store when the whole fleet starts at once
// doesn't grow with the fleet.
package registry

import "time"

// Config holds the parameters of the decision.
type Config struct {
	// PerZone is the number of registered nodes of a zone at which further nodes of the
	// zone no longer register, unless they are keepers or alone.
	PerZone int
	// MinPerZone is the number of registered nodes of the zone below which any node registers
	// at once, so that others can find it. From there up to PerZone, nodes register by rank.
	MinPerZone int
	// RankAfter is the time after its start before which a node doesn't register by
	// rank or because it is alone: it may not have received the members of its zone yet.
	RankAfter time.Duration
	// Keepers is the number of live members of a zone, the first in the order of keys,
	// that register even if PerZone nodes are registered: those may all have gone.
	Keepers int
	// KeepAfter is the time after its start before which a node doesn't register as a
	// keeper: it may not have received the members that precede it yet.
	KeepAfter time.Duration
	// Spread is the time over which the nodes of a site that starts for the first time
	// read the registered addresses, so that later nodes find earlier ones registered.
	Spread time.Duration
}

// DefaultConfig returns the parameters for sites of ten to some thousand hosts.
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

// StartDelay returns the time between a node's start and its first read of the
// registered addresses. first says that the whole site starts for the first time;
// jitter is a random number in [0,1).
func (c Config) StartDelay(first bool, jitter float64) time.Duration {
	if !first {
		return 0
	}
	return time.Duration(jitter * float64(c.Spread))
}

// View is the state of a node on which it bases its decision.
type View struct {
	// Listed is the number of registered nodes of the node's zone, live or not.
	Listed int
	// Rank is the node's position among the live members of its zone, in the order of
	// keys, counted from 0.
	Rank int
	// Age is the time since the node's start.
	Age time.Duration
	// Alone says that the node has no peer.
	Alone bool
}

// Register reports whether a node with this view registers its address.
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
