package message

import "github.com/jacinthgate/jacinthgate/state/model"

// Demand reports a node's or a subtree's use of fleet-wide limits, relayed
// towards the zone's reader and summed there.
type Demand struct {
	Zone  model.Zone   `cbor:"1,keyasint"`
	Node  model.NodeID `cbor:"2,keyasint,omitempty"`
	Items []DemandItem `cbor:"3,keyasint,omitempty"`
	// Nodes is the number of nodes whose demand is summed; 0 means one.
	Nodes uint32 `cbor:"4,keyasint,omitempty"`
	// Applied is the Sequence of the newest Shares of the receiver that the
	// sender and all nodes behind it keep to; 0 means none.
	Applied uint64 `cbor:"5,keyasint,omitempty"`
	// Hops is the largest number of links between the sender and a node whose
	// demand is summed.
	Hops uint32 `cbor:"10,keyasint,omitempty"`
	// Sequence rises with each Demand of the sender.
	Sequence uint64 `cbor:"6,keyasint,omitempty"`
	// Since is 0 in a whole message. Otherwise Items and Gone are the changes
	// since the message with the sequence Sequence-Since, and Node is left out.
	Since uint64 `cbor:"7,keyasint,omitempty"`
	// Gone names the limits that are no longer reported.
	Gone []string `cbor:"8,keyasint,omitempty"`
	// Resync asks the receiver for a whole Shares. The message says nothing
	// else.
	Resync bool `cbor:"9,keyasint,omitempty"`
}

// DemandItem is the demand on one limit.
type DemandItem struct {
	// Limit names the limit: the organisation, or organisation/class.
	Limit string `cbor:"1,keyasint"`
	// PerSecond is the offered rate, in requests per second.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// InFlight is the offered concurrency.
	InFlight float64 `cbor:"3,keyasint,omitempty"`
	// HeldPerSecond and HeldConcurrency are the grants in use, or up to 3% more
	// for each of the Hops and one, so that a new reader can renew what an
	// earlier one granted.
	HeldPerSecond float64 `cbor:"4,keyasint,omitempty"`
	// HeldConcurrency is in requests in flight.
	HeldConcurrency float64 `cbor:"5,keyasint,omitempty"`
}

// Shares grants a node its part of fleet-wide limits until they expire.
type Shares struct {
	Node  model.NodeID `cbor:"1,keyasint,omitempty"`
	Term  uint64       `cbor:"2,keyasint"`
	Items []ShareItem  `cbor:"3,keyasint,omitempty"`
	// TTLMillis is how long the grant holds from its receipt, in
	// milliseconds.
	TTLMillis uint32 `cbor:"4,keyasint"`
	// Sequence rises with each Shares of the sender.
	Sequence uint64 `cbor:"5,keyasint,omitempty"`
	// Since is 0 in a whole message. Otherwise Items and Gone are the changes
	// since the message with the sequence Sequence-Since, and Node is left
	// out; all other grants of that message hold on, for TTLMillis from now.
	Since uint64 `cbor:"6,keyasint,omitempty"`
	// Gone names the limits that are no longer granted.
	Gone []string `cbor:"7,keyasint,omitempty"`
	// Resync asks the receiver for a whole Demand. The message says nothing
	// else.
	Resync bool `cbor:"8,keyasint,omitempty"`
}

// ShareItem is the granted part of one limit.
type ShareItem struct {
	Limit       string  `cbor:"1,keyasint"`
	PerSecond   float64 `cbor:"2,keyasint,omitempty"`
	Concurrency float64 `cbor:"3,keyasint,omitempty"`
}
