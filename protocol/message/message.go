// Package message defines the typed messages between nodes. Each message is a
// struct with integer CBOR keys; the codec in this package frames and bounds
// them. Messages carry data only: what a node does with one is decided in the
// coordination packages.
package message

import (
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// ProtocolVersion is the version of the protocol between nodes. Peers of
// different versions refuse each other.
const ProtocolVersion = 1

// Kind is a message's type on the wire.
type Kind uint8

// The kinds. Numbers are part of the protocol and are never reused.
const (
	KindHello Kind = iota + 1
	KindWelcome
	KindBeacon
	KindAdvert
	KindFetch
	KindDelta
	KindFull
	KindAcks
	KindRejections
	KindZoneStatus
	KindRecords
	KindDigest
	KindRecordsRequest
	KindDemand
	KindShares
	KindDocument
	KindDocumentAdvert
	KindDocumentFetch
	KindReaderBeacon
)

// Message is any message between nodes.
type Message interface {
	// Kind returns the message's type on the wire.
	Kind() Kind
}

// Hello is the first message of the node that opened a connection.
type Hello struct {
	Protocol uint16          `cbor:"1,keyasint"`
	Record   endpoint.Record `cbor:"2,keyasint"`
	Held     snapshot.Ref    `cbor:"3,keyasint"`
	Ready    bool            `cbor:"4,keyasint"`
	// Digest is the hash of the sender's endpoint table for each zone.
	Digest []ZoneDigest `cbor:"5,keyasint,omitempty"`
	// LastHeld is the newest version that the receiver is known to have held
	// before, in this or an earlier incarnation. 0 means not known.
	LastHeld uint64 `cbor:"6,keyasint,omitempty"`
	// To is the node that the sender means to reach; empty for a seed whose
	// name it does not know. LastHeld is an answer about that node only.
	To model.NodeID `cbor:"7,keyasint,omitempty"`
}

// Welcome answers a Hello.
type Welcome struct {
	Protocol uint16          `cbor:"1,keyasint"`
	Record   endpoint.Record `cbor:"2,keyasint"`
	Held     snapshot.Ref    `cbor:"3,keyasint"`
	Ready    bool            `cbor:"4,keyasint"`
	Digest   []ZoneDigest    `cbor:"5,keyasint,omitempty"`
	// LastHeld is the newest version that the sender of the Hello is known to
	// have held before, in this or an earlier incarnation. 0 means not known.
	LastHeld uint64 `cbor:"6,keyasint,omitempty"`
	// Incarnation is the newest incarnation of the sender of the Hello that is
	// known here.
	Incarnation uint64 `cbor:"7,keyasint,omitempty"`
	// Drained says that the sender of the Hello had a draining backend server
	// in its last incarnation.
	Drained bool `cbor:"8,keyasint,omitempty"`
	// DrainedInstance is the instance of that backend server, where it has
	// one.
	DrainedInstance string `cbor:"9,keyasint,omitempty"`
}

// Beacon is flooded by each zone's reader. It shows the way to the reader,
// proves links alive and carries the newest version known.
type Beacon struct {
	Zone   model.Zone   `cbor:"1,keyasint"`
	Reader model.NodeID `cbor:"2,keyasint"`
	// Term is the reader's lease term; a higher term replaces a lower one.
	Term uint64 `cbor:"3,keyasint"`
	// Sequence rises with each beacon of a term.
	Sequence uint64       `cbor:"4,keyasint"`
	Head     snapshot.Ref `cbor:"5,keyasint"`
	// Hops counts the nodes that have relayed the beacon.
	Hops uint8 `cbor:"6,keyasint"`
	// PlatformOK says that the reader's last read of the head succeeded.
	PlatformOK bool `cbor:"7,keyasint"`
}

// Advert tells a peer which version the sender holds.
type Advert struct {
	Held snapshot.Ref `cbor:"1,keyasint"`
	// Ready says that the sender serves requests with it.
	Ready bool `cbor:"2,keyasint,omitempty"`
	// Answer says that LastHeld is set. It is sent to peers that are not ready.
	Answer bool `cbor:"3,keyasint,omitempty"`
	// LastHeld is the newest version that the receiver is known to have held
	// before; 0 when none is known.
	LastHeld uint64 `cbor:"4,keyasint,omitempty"`
}

// Fetch asks a peer for a version newer than Have.
type Fetch struct {
	Have snapshot.Ref `cbor:"1,keyasint"`
	// Recent are earlier versions that the sender still holds, newest first. A
	// delta may start from any of them; the sender compares its base's hash.
	Recent []uint64 `cbor:"3,keyasint,omitempty"`
}

// Delta carries an encoded snapshot.Delta.
type Delta struct {
	From snapshot.Ref `cbor:"1,keyasint"`
	To   snapshot.Ref `cbor:"2,keyasint"`
	Body []byte       `cbor:"3,keyasint"`
}

// Full carries one part of an encoded whole snapshot.
type Full struct {
	Ref   snapshot.Ref `cbor:"1,keyasint"`
	Index uint32       `cbor:"2,keyasint"`
	Count uint32       `cbor:"3,keyasint"`
	Body  []byte       `cbor:"4,keyasint"`
}

// Ack says that a node holds a version and serves with it. Version 0 says that
// the incarnation serves nothing yet.
type Ack struct {
	Node    model.NodeKey `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	// Incarnation is the node's incarnation. An ack of a later incarnation
	// replaces those of earlier ones.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
}

// Acks are relayed towards the zone's reader, merged on the way: the newest
// version of each node. The sender takes statuses of zones from the receiver,
// its way to the reader, until it sends one without acknowledgements.
type Acks struct {
	Zone model.Zone `cbor:"1,keyasint"`
	Acks []Ack      `cbor:"2,keyasint"`
}

// Rejection says that a node refused a version and stays on what it holds.
type Rejection struct {
	Node    model.NodeID `cbor:"1,keyasint"`
	Version uint64       `cbor:"2,keyasint"`
	Reason  string       `cbor:"3,keyasint"`
}

// Rejections are relayed towards the zone's reader like Acks.
type Rejections struct {
	Zone       model.Zone  `cbor:"1,keyasint"`
	Rejections []Rejection `cbor:"2,keyasint"`
}

// ZoneStatus is a zone reader's report on its zone. It is flooded to all
// nodes, so that an operator may ask any of them.
type ZoneStatus struct {
	Zone     model.Zone   `cbor:"1,keyasint"`
	Reader   model.NodeID `cbor:"2,keyasint"`
	Term     uint64       `cbor:"3,keyasint"`
	Sequence uint64       `cbor:"4,keyasint"`
	// Version is the version that the report is about.
	Version uint64 `cbor:"5,keyasint"`
	// Live is the number of live members of the zone.
	Live uint32 `cbor:"6,keyasint"`
	// Holding is the number of live members that hold Version or a newer one.
	Holding uint32 `cbor:"7,keyasint"`
	// Missing names live members that don't hold Version, capped at
	// MaxMissing; Live-Holding gives their number.
	Missing []model.NodeID `cbor:"8,keyasint,omitempty"`
	// Rejections are the members that refused Version, capped at MaxMissing.
	Rejections []Rejection `cbor:"9,keyasint,omitempty"`
}

// MaxMissing caps the names in a ZoneStatus.
const MaxMissing = 32

// Records carries announcements, the sender's own or relayed ones.
type Records struct {
	Records []endpoint.Record `cbor:"1,keyasint"`
}

// ZoneDigest is the hash of all records of one zone in an endpoint table.
type ZoneDigest struct {
	Zone model.Zone `cbor:"1,keyasint"`
	Hash uint64     `cbor:"2,keyasint"`
}

// Digest is sent now and then to a peer; where a zone differs the two
// exchange bucket hashes and then the records of the buckets that differ.
type Digest struct {
	Zones []ZoneDigest `cbor:"1,keyasint"`
}

// RecordsRequest asks for the records of one zone whose bucket hash differs
// from the given one. An empty Buckets asks for all records of the zone.
type RecordsRequest struct {
	Zone    model.Zone `cbor:"1,keyasint"`
	Buckets []uint64   `cbor:"2,keyasint,omitempty"`
}

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

// Document carries a whole configuration as the platform's store holds it.
type Document struct {
	// Version is the configuration's version.
	Version uint64 `cbor:"1,keyasint"`
	// Body is the encoded configuration.
	Body []byte `cbor:"2,keyasint"`
}

// DocumentAdvert tells a peer which configuration the sender serves with; 0 is
// none.
type DocumentAdvert struct {
	Version uint64 `cbor:"1,keyasint"`
}

// DocumentFetch asks a peer for a configuration newer than Have.
type DocumentFetch struct {
	Have uint64 `cbor:"1,keyasint"`
}

// ReaderBeacon is flooded within an availability zone by the node that reads
// the platform's store for it, while its reads succeed.
type ReaderBeacon struct {
	Reader model.NodeID `cbor:"1,keyasint"`
	// Incarnation is the reader's; a later one replaces an earlier one.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence rises with each beacon of an incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
}
