// Package docsync decides how a node gets the newest configuration document:
// which nodes of an availability zone read the platform's store, and how the
// others get the document from their peers.
//
// The live members of the zone that come first in the order of keys read the
// store and are called its leaders. Each sends beacons while its reads succeed,
// and the members relay them over the zone's links. When beacons fail to arrive,
// the next members take over one after the other. No lease is needed: a second
// reader costs only its reads, because a node applies a document only if its
// version is higher than the one held.
//
// The core is a pure state machine in the sense of coordination/core.
package docsync

import "time"

// Config holds the parameters of the core.
type Config struct {
	// Leaders is the number of members, first in the order of keys, that read
	// the store for their zone at the same time. More than one costs reads, but
	// protects the zone against a store that silently fails to serve some hosts:
	// with a single reader among these hosts the zone would miss new versions.
	Leaders int
	// Zones is the number of availability zones of the site, and ZoneIndex the position of the
	// node's own zone among them; every node of the site uses the same order. They determine the
	// reader's slot in a ReadSchedule.
	Zones, ZoneIndex int
	// BeaconInterval is the time between two beacons of a reader.
	BeaconInterval time.Duration
	// BeaconTimeout is the time without any beacon after which the first member
	// takes over. It allows for two lost beacons.
	BeaconTimeout time.Duration
	// RankDelay is how much longer than its predecessor each of the first
	// QuickRanks members waits before it takes over, so that one takes over and
	// not all at once.
	RankDelay time.Duration
	// QuickRanks is the number of members that take over in quick succession: if
	// the store serves only some hosts, one of these members most likely reaches
	// it.
	QuickRanks int
	// SlowRankDelay is how much longer than its predecessor each member after the
	// first QuickRanks waits before it takes over. SlowRankDelay times the number of
	// live members is the least backoff of a member whose read has failed; leaders
	// have no such minimum. While the store serves nobody, a zone therefore makes
	// about one read per SlowRankDelay besides those of its leaders, whatever its
	// size: in an outage of 8 s a zone of 60 makes 39 reads instead of 365
	// (TestReadsDuringAStoreOutageDontGrowWithTheZone).
	SlowRankDelay time.Duration
	// FetchTimeout is how long a peer may take to send a document before
	// another peer is tried.
	FetchTimeout time.Duration
	// AdvertRepeat is the time after which the held version is advertised again to a peer that has
	// not been heard to hold it: an advert may be lost, and nobody asks for a version that they
	// don't know of.
	AdvertRepeat time.Duration
	// CrossZoneFetchDelay is how long a node waits before it fetches a newer document
	// that only peers in other availability zones hold: traffic between zones
	// is expensive, and the zone's own reader usually gets the document as soon.
	CrossZoneFetchDelay time.Duration
	// StartWait is how long a recently started node waits for the store's
	// document before it applies one from a peer.
	StartWait time.Duration
	// ReadDelay is how long a recently started node doesn't read the store, so
	// that it gets the document from a peer if one holds it.
	ReadDelay time.Duration
	// FirstStart is set when the whole site starts for the first time. No node has
	// applied a newer document before, so a node applies a peer's document
	// without waiting for the store.
	FirstStart bool
	// OwnReadAfter is how long a newer version may be known before the node reads the store itself: its
	// links may end too often for a peer to send the document.
	OwnReadAfter time.Duration
	// LateAfter is how long a newer version may be known before it is reported as late.
	LateAfter time.Duration
	// RetryMin and RetryMax bound the delay after a failed read, which doubles
	// with each failure.
	RetryMin time.Duration
	RetryMax time.Duration
}

// DefaultConfig returns the default parameters; see docs/design/platform.md.
func DefaultConfig() Config {
	return Config{
		Leaders:             1,
		Zones:               1,
		BeaconInterval:      500 * time.Millisecond,
		BeaconTimeout:       1100 * time.Millisecond,
		RankDelay:           150 * time.Millisecond,
		QuickRanks:          4,
		SlowRankDelay:       300 * time.Millisecond,
		FetchTimeout:        400 * time.Millisecond,
		AdvertRepeat:        700 * time.Millisecond,
		CrossZoneFetchDelay: 300 * time.Millisecond,
		StartWait:           time.Second,
		OwnReadAfter:        800 * time.Millisecond,
		LateAfter:           time.Second,
		RetryMin:            300 * time.Millisecond,
		RetryMax:            1500 * time.Millisecond,
	}
}
