// Package member decides who belongs to the fleet and which nodes are linked.
//
// Every node holds the record of every other node (see state/endpoint). The
// core keeps links to a few peers, floods changed records over them, repairs
// what was lost by comparing digests, and watches the peers it is linked to.
// Only members of a node's own availability zone find it failed, so that a
// zone that is cut off loses no record elsewhere.
//
// The core is a pure state machine in the sense of coordination/core.
// docs/design/membership.md gives the choices and their figures.
package member

import "time"

// Config holds the parameters of the core.
type Config struct {
	// HeartbeatInterval is the longest time without a message on a link
	// before an empty Digest is sent to prove the link alive.
	HeartbeatInterval time.Duration
	// SuspectAfter is how long a link may be silent before its peer is
	// suspected. It covers two lost heartbeats and their delay.
	SuspectAfter time.Duration
	// SuspicionTimeout is how long a suspect has to refute before the node
	// that suspected it finds it failed. Others wait twice as long.
	SuspicionTimeout time.Duration
	// SuspicionWindow is the time over which suspicions are capped.
	SuspicionWindow time.Duration
	// MaxSuspectPart is the part of the zone's live members that may become
	// suspect within SuspicionWindow, 0 to 1. A node that is cut off itself
	// must not evict the rest.
	MaxSuspectPart float64
	// MinSuspects is the number of suspicions allowed within SuspicionWindow
	// in a zone so small that MaxSuspectPart would allow fewer.
	MinSuspects int
	// PauseThreshold is the longest time between two events of a process that
	// runs. After a longer one nobody is suspected for SuspectAfter.
	PauseThreshold time.Duration
	// TombstoneTTL is how long the record of a dead node is kept, so that a
	// paused node can't bring back what was withdrawn.
	TombstoneTTL time.Duration
	// BatchDelay is the time over which changed records are gathered into one
	// message.
	BatchDelay time.Duration
	// MaxMessageBytes bounds the estimated size of a Records message.
	MaxMessageBytes int
	// DigestInterval is the time between two comparisons with a random
	// neighbour.
	DigestInterval time.Duration
	// MaxRelayTableSize is the number of records in the table up to which links between zones
	// also carry records of third zones. This spreads them sooner than the links of their own
	// zones alone, but costs more bytes between zones.
	MaxRelayTableSize int
	// RelayCompareDelay is the time between a change of third zones' records that isn't passed
	// on over a link between zones and the comparison of the tables over that link.
	RelayCompareDelay time.Duration
	// RequestTimeout is how long an answer to a RecordsRequest is waited for
	// before the zone is asked for again, and the quiet time after which the
	// first copy of a zone counts as whole.
	RequestTimeout time.Duration
	// AnswerBytesPerSecond bounds the answers to RecordsRequests, so that a
	// herd of joiners can't take up the node's link.
	AnswerBytesPerSecond int
	// AnswerBurstBytes is the size of the answers sent at once.
	AnswerBurstBytes int
	// ChordLinks is the number of links besides the one to the successor.
	ChordLinks int
	// MaxPeers is the number of links at which further peers are turned away,
	// unless the overlay wants a link to them.
	MaxPeers int
	// GatewaysPerZone is the number of members of each zone that link to
	// other zones.
	GatewaysPerZone int
	// LinkLinger is how long a link that neither side wants is kept.
	LinkLinger time.Duration
	// ZoneSilentAfter is how long a gateway goes without any link to another
	// zone before it tries that zone's other members.
	ZoneSilentAfter time.Duration
	// BackoffMin is the wait after the first failed attempt to connect.
	BackoffMin time.Duration
	// BackoffMax is the longest wait between two attempts to connect.
	BackoffMax time.Duration
	// ConnectTimeout is when an attempt counts as failed without an answer.
	ConnectTimeout time.Duration
	// ConnectsPerSecond bounds the attempts to connect of this node.
	ConnectsPerSecond float64
	// ConnectBurst is the number of attempts that may be made at once.
	ConnectBurst float64
	// RejoinInterval is the time between attempts to reach an address that
	// may belong to a part of the fleet that this node has lost.
	RejoinInterval time.Duration
	// RejoinMin is the time between the first of these attempts after a start,
	// and between the first attempts to find any peer. It doubles up to
	// RejoinInterval. With 80 ms, sites of 15 hosts that start at once
	// hold all records 3 s sooner (TestSiteThatStartsAtOnceFindsItself).
	RejoinMin time.Duration
	// MaxRecords bounds the table against hostile input, in records.
	MaxRecords int
}

// DefaultConfig returns the parameters for the size that the project is
// designed for.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:    2 * time.Second,
		SuspectAfter:         4500 * time.Millisecond,
		SuspicionTimeout:     2 * time.Second,
		SuspicionWindow:      30 * time.Second,
		MaxSuspectPart:       0.25,
		MinSuspects:          2,
		PauseThreshold:       2 * time.Second,
		TombstoneTTL:         24 * time.Hour,
		BatchDelay:           20 * time.Millisecond,
		MaxMessageBytes:      24 << 10,
		DigestInterval:       10 * time.Second,
		MaxRelayTableSize:    128,
		RelayCompareDelay:    300 * time.Millisecond,
		RequestTimeout:       2 * time.Second,
		AnswerBytesPerSecond: 256 << 10,
		AnswerBurstBytes:     1 << 20,
		ChordLinks:           2,
		MaxPeers:             32,
		GatewaysPerZone:      2,
		LinkLinger:           15 * time.Second,
		ZoneSilentAfter:      10 * time.Second,
		BackoffMin:           200 * time.Millisecond,
		BackoffMax:           10 * time.Second,
		ConnectTimeout:       10 * time.Second,
		ConnectsPerSecond:    4,
		ConnectBurst:         8,
		RejoinInterval:       10 * time.Second,
		RejoinMin:            80 * time.Millisecond,
		MaxRecords:           16 << 10,
	}
}
