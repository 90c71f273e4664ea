// Package member implements membership and the overlay of links between nodes.
//
// Every node holds the record of every other node (see state/endpoint). The core keeps
// links to a few peers, floods changed records over them, repairs lost updates by comparing
// digests (anti-entropy), and monitors the peers that it is linked to. Only members of a
// node's own availability zone can mark it as failed, so that a zone cut off by a network
// partition loses no records elsewhere.
//
// The core is a pure state machine in the sense of coordination/core.
// docs/design/membership.md explains the design choices and their figures.
package member

import "time"

// Config holds the parameters of the core.
type Config struct {
	// HeartbeatInterval is how long this node may send nothing on a link before it sends an
	// empty Digest as a heartbeat.
	HeartbeatInterval time.Duration
	// SuspectAfter is how long a link may be silent before its peer is suspected. It covers
	// two lost heartbeats and their delay.
	SuspectAfter time.Duration
	// SuspicionTimeout is how long a suspect has to refute before the node that raised the
	// suspicion marks it as failed. Other nodes wait twice as long.
	SuspicionTimeout time.Duration
	// SuspicionWindow is the sliding window over which suspicions are capped. A member that
	// refuted a suspicion of this node is not suspected by it again for the same time.
	SuspicionWindow time.Duration
	// MaxSuspectFraction is the fraction, 0 to 1, of the zone's live members that may become
	// suspect within SuspicionWindow. It prevents a node that is itself cut off from
	// evicting the others.
	MaxSuspectFraction float64
	// MinSuspects is the number of suspicions allowed within SuspicionWindow in a zone so
	// small that MaxSuspectFraction would allow fewer.
	MinSuspects int
	// PauseThreshold is the longest expected gap between two events of a running process.
	// After a longer gap the process is taken to have been paused, and it suspects nobody
	// for SuspectAfter.
	PauseThreshold time.Duration
	// TombstoneTTL is how long the record of a dead node is kept as a tombstone, so that a
	// node that was paused can't bring back withdrawn records.
	TombstoneTTL time.Duration
	// BatchDelay is how long changed records are collected before they are sent in one
	// message.
	BatchDelay time.Duration
	// MaxMessageBytes bounds the estimated size of a Records message.
	MaxMessageBytes int
	// DigestInterval is the time between two digest comparisons with a random neighbour.
	DigestInterval time.Duration
	// MaxRelayTableSize is the number of records in the table up to which links between
	// zones also relay records of third zones. Relaying spreads them sooner than the links
	// of their own zones alone, but sends more bytes between zones.
	MaxRelayTableSize int
	// RelayCompareDelay is the delay between a change of third zones' records that is not
	// relayed over a link between zones and the digest comparison over that link.
	RelayCompareDelay time.Duration
	// RequestTimeout is the minimum time between two RecordsRequests for the same zone. It
	// is also the idle time after which the initial sync of a zone counts as complete.
	RequestTimeout time.Duration
	// ResponseBytesPerSecond bounds the responses to RecordsRequests, so that many nodes
	// joining at once can't saturate this node's network link.
	ResponseBytesPerSecond int
	// ResponseBurstBytes is the burst size of that budget: the bytes of responses that may be
	// sent at once.
	ResponseBurstBytes int
	// ChordLinks is the number of links besides the one to the successor on the ring.
	ChordLinks int
	// MaxPeers is the number of links beyond which a new link is rejected, unless the
	// overlay wants it.
	MaxPeers int
	// GatewaysPerZone is the number of members of each zone that link to other zones.
	GatewaysPerZone int
	// LinkLinger is how long a link that neither side wants is kept.
	LinkLinger time.Duration
	// UnlinkedZoneDelay is how long a gateway goes without any link to another zone before it
	// dials random members of that zone instead of only its gateways.
	UnlinkedZoneDelay time.Duration
	// BackoffMin is the delay after the first failed connection attempt. It doubles with
	// each further failure, up to BackoffMax.
	BackoffMin time.Duration
	// BackoffMax is the longest delay between two connection attempts, before jitter.
	BackoffMax time.Duration
	// ConnectTimeout is the time without a result after which a connection attempt counts
	// as failed.
	ConnectTimeout time.Duration
	// ConnectsPerSecond bounds this node's connection attempts.
	ConnectsPerSecond float64
	// ConnectBurst is the number of connection attempts that may be made at once.
	ConnectBurst float64
	// RejoinInterval is the time between attempts to reach an address that may belong to a
	// part of the fleet that this node has lost.
	RejoinInterval time.Duration
	// RejoinMin is the delay between the first of these attempts after a start, and between
	// the first attempts to find any peer. For the former it doubles up to RejoinInterval.
	// With 80 ms, the nodes of a site of 15 hosts that start simultaneously hold all
	// records 3 s sooner than with BackoffMin between seeds and RejoinInterval between
	// attempts (TestSimultaneousSiteStartConverges).
	RejoinMin time.Duration
	// MaxRecords bounds the number of records in the table against hostile input.
	MaxRecords int
}

// DefaultConfig returns the parameters for the fleet size that the project is designed for.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:      2 * time.Second,
		SuspectAfter:           4500 * time.Millisecond,
		SuspicionTimeout:       2 * time.Second,
		SuspicionWindow:        30 * time.Second,
		MaxSuspectFraction:     0.25,
		MinSuspects:            2,
		PauseThreshold:         2 * time.Second,
		TombstoneTTL:           24 * time.Hour,
		BatchDelay:             20 * time.Millisecond,
		MaxMessageBytes:        24 << 10,
		DigestInterval:         10 * time.Second,
		MaxRelayTableSize:      128,
		RelayCompareDelay:      300 * time.Millisecond,
		RequestTimeout:         2 * time.Second,
		ResponseBytesPerSecond: 256 << 10,
		ResponseBurstBytes:     1 << 20,
		ChordLinks:             2,
		MaxPeers:               32,
		GatewaysPerZone:        2,
		LinkLinger:             15 * time.Second,
		UnlinkedZoneDelay:      10 * time.Second,
		BackoffMin:             200 * time.Millisecond,
		BackoffMax:             10 * time.Second,
		ConnectTimeout:         10 * time.Second,
		ConnectsPerSecond:      4,
		ConnectBurst:           8,
		RejoinInterval:         10 * time.Second,
		RejoinMin:              80 * time.Millisecond,
		MaxRecords:             16 << 10,
	}
}
