// Package message defines the typed messages between nodes. Each message is a
// struct with integer CBOR keys; the codec in this package prefixes it with its
// kind and limits its size. Messages carry data only: the coordination packages
// implement how a node handles them.
package message

import (
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// ProtocolVersion is the version of the protocol between nodes. Peers of
// different versions reject each other's connections.
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
	// LastHeld is the newest version that the sender has recorded the receiver to
	// have held, in this or an earlier incarnation; 0 if it has no record.
	LastHeld uint64 `cbor:"6,keyasint,omitempty"`
	// To is the node that the sender intends to reach; empty for a seed whose
	// name is not known to it. LastHeld applies to that node only.
	To model.NodeID `cbor:"7,keyasint,omitempty"`
	// Drained is true if, by the sender's record of To, its backend server was draining in
	// incarnation DrainedIncarnation. DrainedInstance is the instance of that backend server.
	// Only receivers of earlier versions read DrainedIncarnation.
	Drained            bool   `cbor:"8,keyasint,omitempty"`
	DrainedInstance    string `cbor:"9,keyasint,omitempty"`
	DrainedIncarnation uint64 `cbor:"10,keyasint,omitempty"`
	// RemembersMillis is how far back the sender's memory of departures reaches, in milliseconds;
	// 0 from senders that don't report it.
	RemembersMillis uint64 `cbor:"11,keyasint,omitempty"`
}

// Welcome is the response to a Hello.
type Welcome struct {
	Protocol uint16          `cbor:"1,keyasint"`
	Record   endpoint.Record `cbor:"2,keyasint"`
	Held     snapshot.Ref    `cbor:"3,keyasint"`
	Ready    bool            `cbor:"4,keyasint"`
	Digest   []ZoneDigest    `cbor:"5,keyasint,omitempty"`
	// LastHeld is the newest version that the sender of the Hello is recorded to
	// have held, in this or an earlier incarnation; 0 if there is no record.
	LastHeld uint64 `cbor:"6,keyasint,omitempty"`
	// Incarnation is the newest incarnation of the sender of the Hello that the
	// sender of the Welcome has recorded.
	Incarnation uint64 `cbor:"7,keyasint,omitempty"`
	// Drained is true if the sender of the Hello had a draining backend server
	// in its last incarnation.
	Drained bool `cbor:"8,keyasint,omitempty"`
	// DrainedInstance is the instance of that backend server; empty if it has
	// none.
	DrainedInstance string `cbor:"9,keyasint,omitempty"`
	// RemembersMillis is as in Hello.
	RemembersMillis uint64 `cbor:"10,keyasint,omitempty"`
}

// Beacon is flooded by each zone's reader. It determines each node's upstream
// neighbour towards the reader, shows that links are alive and carries the newest
// version that the reader has learned of.
type Beacon struct {
	Zone   model.Zone   `cbor:"1,keyasint"`
	Reader model.NodeID `cbor:"2,keyasint"`
	// Term is the reader's lease term; a higher term supersedes a lower one.
	Term uint64 `cbor:"3,keyasint"`
	// Sequence increases with each beacon of a term.
	Sequence uint64       `cbor:"4,keyasint"`
	Head     snapshot.Ref `cbor:"5,keyasint"`
	// Hops counts the nodes that have relayed the beacon.
	Hops uint8 `cbor:"6,keyasint"`
	// PlatformOK is true if the reader's last read of the head succeeded.
	PlatformOK bool `cbor:"7,keyasint"`
}

// Advert advertises the version that the sender holds to a peer.
type Advert struct {
	Held snapshot.Ref `cbor:"1,keyasint"`
	// Ready is true if the sender serves requests with that version.
	Ready bool `cbor:"2,keyasint,omitempty"`
	// HasLastHeld is true if LastHeld is set, as it is for peers that are not ready.
	HasLastHeld bool `cbor:"3,keyasint,omitempty"`
	// LastHeld is the newest version that the sender has recorded the receiver to
	// have held; 0 if it has no record.
	LastHeld uint64 `cbor:"4,keyasint,omitempty"`
}

// Fetch requests from a peer a version newer than Have.
type Fetch struct {
	Have snapshot.Ref `cbor:"1,keyasint"`
	// Recent are earlier versions that the sender still holds, newest first. The
	// peer may send a delta from any of them; the sender of the Fetch verifies the
	// hash of the delta's base.
	Recent []uint64 `cbor:"3,keyasint,omitempty"`
}

// Delta carries an encoded snapshot.Delta.
type Delta struct {
	From snapshot.Ref `cbor:"1,keyasint"`
	To   snapshot.Ref `cbor:"2,keyasint"`
	Body []byte       `cbor:"3,keyasint"`
}

// Full carries one part of an encoded full snapshot: part Index, from 0, of Count.
type Full struct {
	Ref   snapshot.Ref `cbor:"1,keyasint"`
	Index uint32       `cbor:"2,keyasint"`
	Count uint32       `cbor:"3,keyasint"`
	Body  []byte       `cbor:"4,keyasint"`
}

// Ack is a node's acknowledgement that it holds a version and serves with it.
// Version 0 means that the incarnation has no version to serve with yet.
type Ack struct {
	Node    model.NodeKey `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	// Incarnation is the node's incarnation. An Ack of a later incarnation
	// supersedes those of earlier ones.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
}

// Acks carries acknowledgements towards the zone's reader. Each node on the path
// merges them and keeps the newest version of each node. A
// message with acknowledgements marks the receiver as the sender's upstream
// neighbour, which from then on sends it the ZoneStatus messages; a message
// without acknowledgements ends that.
type Acks struct {
	Zone model.Zone `cbor:"1,keyasint"`
	Acks []Ack      `cbor:"2,keyasint"`
}

// Rejection reports that a node has rejected a version and keeps the one that it
// holds.
type Rejection struct {
	Node    model.NodeID `cbor:"1,keyasint"`
	Version uint64       `cbor:"2,keyasint"`
	Reason  string       `cbor:"3,keyasint"`
}

// Rejections carries rejections towards the zone's reader, relayed like Acks.
type Rejections struct {
	Zone       model.Zone  `cbor:"1,keyasint"`
	Rejections []Rejection `cbor:"2,keyasint"`
}

// ZoneStatus is a zone reader's report on its zone. It is flooded to all
// nodes, so that an operator may query any of them.
type ZoneStatus struct {
	Zone     model.Zone   `cbor:"1,keyasint"`
	Reader   model.NodeID `cbor:"2,keyasint"`
	Term     uint64       `cbor:"3,keyasint"`
	Sequence uint64       `cbor:"4,keyasint"`
	// Version is the version that the report is for.
	Version uint64 `cbor:"5,keyasint"`
	// Live is the number of live members of the zone.
	Live uint32 `cbor:"6,keyasint"`
	// Holding is the number of live members that hold Version or a newer one.
	Holding uint32 `cbor:"7,keyasint"`
	// Missing names live members that don't hold Version, capped at
	// MaxMissing; Live-Holding gives their number.
	Missing []model.NodeID `cbor:"8,keyasint,omitempty"`
	// Rejections are the rejections of Version by members, capped at MaxMissing.
	Rejections []Rejection `cbor:"9,keyasint,omitempty"`
}

// MaxMissing is the maximum number of entries in Missing and in Rejections of a
// ZoneStatus.
const MaxMissing = 32

// Records carries endpoint records: the sender's own or relayed ones.
type Records struct {
	Records []endpoint.Record `cbor:"1,keyasint"`
	// Departures are instances of backend servers that are shutting down or gone.
	Departures []Departure `cbor:"2,keyasint,omitempty"`
	// RemembersMillis is set once all departures that the sender remembers have been sent: how far
	// back they reach, in milliseconds.
	RemembersMillis uint64 `cbor:"3,keyasint,omitempty"`
}

// ZoneDigest is the hash of all records of one zone in an endpoint table.
type ZoneDigest struct {
	Zone model.Zone `cbor:"1,keyasint"`
	Hash uint64     `cbor:"2,keyasint"`
}

// Digest is sent periodically to a peer for anti-entropy. For each zone whose
// hashes differ the two nodes exchange bucket hashes and then the records of the
// buckets that differ.
type Digest struct {
	Zones []ZoneDigest `cbor:"1,keyasint"`
}

// RecordsRequest requests the records of those buckets of one zone whose hash
// differs from the given one. Without Buckets it requests all records of the zone.
type RecordsRequest struct {
	Zone    model.Zone `cbor:"1,keyasint"`
	Buckets []uint64   `cbor:"2,keyasint,omitempty"`
}
