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
	KindSuspects
	KindSuspectsDigest
	KindRollouts
	KindRolloutsDigest
	KindFreshness
	KindEvacuations
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
