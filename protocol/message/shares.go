package message

import "github.com/jacinthgate/jacinthgate/state/model"

// Demand reports the use of fleet-wide limits by a node or a subtree of the zone's
// tree. It is relayed upstream, towards the zone's reader, and summed on the path.
type Demand struct {
	Zone  model.Zone   `cbor:"1,keyasint"`
	Node  model.NodeID `cbor:"2,keyasint,omitempty"`
	Items []DemandItem `cbor:"3,keyasint,omitempty"`
	// Nodes is the number of nodes whose demand is summed; 0 means 1.
	Nodes uint32 `cbor:"4,keyasint,omitempty"`
	// Applied is the Sequence of the receiver's newest Shares that the sender
	// and all nodes of its subtree have applied; 0 means none.
	Applied uint64 `cbor:"5,keyasint,omitempty"`
	// Hops is the largest number of links between the sender and a node whose
	// demand is summed.
	Hops uint32 `cbor:"10,keyasint,omitempty"`
	// Sequence increases with each Demand of the sender.
	Sequence uint64 `cbor:"6,keyasint,omitempty"`
	// Since is 0 in a full message. Otherwise the message is a delta: Items and
	// Gone are the changes since the message with the sequence Sequence-Since,
	// and Node is omitted.
	Since uint64 `cbor:"7,keyasint,omitempty"`
	// Gone names the limits that are no longer reported.
	Gone []string `cbor:"8,keyasint,omitempty"`
	// Resync requests a full Shares from the receiver. The message carries
	// nothing else.
	Resync bool `cbor:"9,keyasint,omitempty"`
}

// DemandItem is the demand on one limit.
type DemandItem struct {
	// Limit is the name of the limit: the organisation, or organisation/class.
	Limit string `cbor:"1,keyasint"`
	// PerSecond is the offered rate, in requests per second.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// InFlight is the offered concurrency.
	InFlight float64 `cbor:"3,keyasint,omitempty"`
	// HeldPerSecond and HeldConcurrency are the grants in use, from which a new
	// reader renews the grants of the previous one. Each of the at most Hops+1
	// nodes that report or sum them may overstate them by up to 3%, never
	// understate them.
	HeldPerSecond float64 `cbor:"4,keyasint,omitempty"`
	// HeldConcurrency is the number of requests in flight, as HeldPerSecond is
	// the rate.
	HeldConcurrency float64 `cbor:"5,keyasint,omitempty"`
}

// Shares grants a node shares of fleet-wide limits, which expire after TTLMillis.
type Shares struct {
	Node  model.NodeID `cbor:"1,keyasint,omitempty"`
	Term  uint64       `cbor:"2,keyasint"`
	Items []ShareItem  `cbor:"3,keyasint,omitempty"`
	// TTLMillis is how long the grant is valid from its receipt, in
	// milliseconds.
	TTLMillis uint32 `cbor:"4,keyasint"`
	// Sequence increases with each Shares of the sender.
	Sequence uint64 `cbor:"5,keyasint,omitempty"`
	// Since is 0 in a full message. Otherwise the message is a delta: Items and
	// Gone are the changes since the message with the sequence Sequence-Since,
	// and Node is omitted. All other grants of that message are renewed for
	// TTLMillis from the receipt of this one.
	Since uint64 `cbor:"6,keyasint,omitempty"`
	// Gone names the limits that are no longer granted.
	Gone []string `cbor:"7,keyasint,omitempty"`
	// Resync requests a full Demand from the receiver. The message carries
	// nothing else.
	Resync bool `cbor:"8,keyasint,omitempty"`
}

// ShareItem is the granted share of one limit.
type ShareItem struct {
	Limit       string  `cbor:"1,keyasint"`
	PerSecond   float64 `cbor:"2,keyasint,omitempty"`
	Concurrency float64 `cbor:"3,keyasint,omitempty"`
}
