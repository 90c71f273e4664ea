// Package endpoint holds the soft state that nodes announce about themselves
// and the backend server on their host. Records are ordered by (incarnation,
// sequence, status); they never change a configuration version or a route.
package endpoint

import "github.com/jacinthgate/jacinthgate/state/model"

// Status says what is known of a node's life. A higher status wins over a
// lower one of the same incarnation and sequence.
type Status uint8

// The statuses, in order of precedence.
const (
	// StatusAlive is a node that serves.
	StatusAlive Status = iota
	// StatusSuspect is a node that a peer in its own zone can't hear.
	StatusSuspect
	// StatusFailed is a node that did not refute a suspicion in time.
	StatusFailed
	// StatusLeft is a node that shut down gracefully.
	StatusLeft
)

// Record is what one node announces of itself and of its backend server.
type Record struct {
	// Node is the owner of the record.
	Node model.NodeID `json:"node" cbor:"1,keyasint"`
	// Zone is the owner's availability zone.
	Zone model.Zone `json:"zone" cbor:"2,keyasint"`
	// Region is the owner's region.
	Region model.Region `json:"region" cbor:"3,keyasint"`
	// PeerAddr is the UDP address of the owner's control endpoint, IP:port.
	PeerAddr string `json:"peerAddr" cbor:"4,keyasint"`
	// GateAddr is the TCP address of the owner's gate, IP:port.
	GateAddr string `json:"gateAddr" cbor:"5,keyasint"`
	// Incarnation rises with every start of the owner.
	Incarnation uint64 `json:"incarnation" cbor:"6,keyasint"`
	// Sequence rises with every change of the record within an incarnation.
	// A refutation of a suspicion raises it too.
	Sequence uint64 `json:"sequence" cbor:"7,keyasint"`
	// Status is the life of the owner.
	Status Status `json:"status" cbor:"8,keyasint"`
	// Service is the service that the backend server offers. Empty while no
	// backend server has announced itself.
	Service string `json:"service,omitempty" cbor:"9,keyasint,omitempty"`
	// Slots is the number of requests the backend server runs at one time.
	Slots int `json:"slots,omitempty" cbor:"10,keyasint,omitempty"`
	// Connections is the number of connections the backend server accepts.
	Connections int `json:"connections,omitempty" cbor:"11,keyasint,omitempty"`
	// Draining says that the backend server takes no new work.
	Draining bool `json:"draining,omitempty" cbor:"12,keyasint,omitempty"`
	// Unready says that the backend server or the node can't serve now.
	Unready bool `json:"unready,omitempty" cbor:"13,keyasint,omitempty"`
	// Instance identifies the start of the backend server, where it gives one;
	// a request that names another instance is refused by the owner's gate.
	Instance string `json:"instance,omitempty" cbor:"15,keyasint,omitempty"`
	// Version is the version of the backend server's software, where it tells one.
	Version string `json:"version,omitempty" cbor:"16,keyasint,omitempty"`
	// Cold says that the backend server has just started and can handle few requests per
	// second.
	Cold bool `json:"cold,omitempty" cbor:"17,keyasint,omitempty"`
	// Died is when the owner was found failed or left, in seconds of Unix
	// time; 0 while it lives. Tombstones expire by it, so that passing one on
	// doesn't prolong it. It takes no part in the order of records.
	Died int64 `json:"died,omitempty" cbor:"14,keyasint,omitempty"`
}

// Live reports whether the owner is held to run: alive or only suspected.
func (r *Record) Live() bool { return r.Status <= StatusSuspect }

// Supersedes reports whether r replaces o. Both must be of the same node.
// Incarnation decides first, then sequence, then status.
func (r Record) Supersedes(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Sequence != o.Sequence {
		return r.Sequence > o.Sequence
	}
	return r.Status > o.Status
}

// Serving reports whether new work may be sent to the record's backend server.
// A suspect node still gets work: what the sender itself sees counts more.
func (r Record) Serving() bool {
	return r.Live() && r.Service != "" && !r.Draining && !r.Unready
}
