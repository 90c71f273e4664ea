// Package docsync decides how a node gets the newest configuration document:
// who in an availability zone reads the platform's store, and how the others
// get the document from their peers.
//
// The live members of the zone that come first in the order of keys read the
// store; a beacon from each, relayed over the zone's links, tells the others that
// its reads succeed. When no beacon is heard, the next members take over one
// after the other. No lease is needed: two readers cost only reads, because a
// document is taken only when its version is higher than the one held.
//
// The core is a pure state machine in the sense of coordination/core.
package docsync

import "time"

// Config holds the parameters of the core.
type Config struct {
	// Leaders is the number of members, first in the order of keys, that read
	// the store for their zone at the same time. More than one costs reads, but
	// a store that silently serves some hosts only can't keep a version from a
	// zone by not serving its one reader.
	Leaders int
	// BeaconInterval is the time between two beacons of a reader.
	BeaconInterval time.Duration
	// SilenceAfter is how long no beacon is heard before the first member
	// takes over. It covers two lost beacons.
	SilenceAfter time.Duration
	// RankDelay is how much longer each of the first QuickRanks members waits,
	// so that one takes over and not all.
	RankDelay time.Duration
	// QuickRanks is the number of members that take over in quick succession: a
	// store that serves some hosts only is reached by one of them in all
	// likelihood.
	QuickRanks int
	// TurnDelay is how much longer each member after those waits, and with the
	// number of members gives how long one that failed waits for its next turn.
	// While the store serves nobody a zone so makes about one read in this time
	// besides its leaders', however many members it has: with a zone of 60, away
	// for 8 s, 39 reads in place of 365
	// (TestReadsOfAStoreThatIsAwayDontGrowWithTheZone).
	TurnDelay time.Duration
	// FetchTimeout is how long a peer may take to send a document before
	// another one is asked.
	FetchTimeout time.Duration
	// FarFetchDelay is how long a newer document known only in other
	// availability zones is waited for in the own one: bytes between zones
	// are dear, and the zone's reader usually has it as soon.
	FarFetchDelay time.Duration
	// StartWait is how long a node that has just started waits for the
	// store's document before it serves with one that a peer holds.
	StartWait time.Duration
	// ReadDelay is how long a node that has just started doesn't read the store,
	// so that it gets the document from a peer where one has it.
	ReadDelay time.Duration
	// Fresh says that the whole site starts for the first time: no node has served
	// with a newer document before, so that a peer's is taken without the store's.
	Fresh bool
	// RetryMin and RetryMax bound the wait after a failed read, which doubles
	// with each failure.
	RetryMin time.Duration
	RetryMax time.Duration
}

// DefaultConfig returns the parameters measured in docs/design/platform.md.
func DefaultConfig() Config {
	return Config{
		Leaders:        1,
		BeaconInterval: 500 * time.Millisecond,
		SilenceAfter:   1100 * time.Millisecond,
		RankDelay:      150 * time.Millisecond,
		QuickRanks:     4,
		TurnDelay:      300 * time.Millisecond,
		FetchTimeout:   400 * time.Millisecond,
		FarFetchDelay:  300 * time.Millisecond,
		StartWait:      time.Second,
		RetryMin:       300 * time.Millisecond,
		RetryMax:       1500 * time.Millisecond,
	}
}
