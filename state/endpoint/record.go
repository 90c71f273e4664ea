// Package endpoint holds the soft state that each node announces about itself
// and the backend server on its host. The records of a node are ordered by
// (incarnation, sequence, status). They never change a configuration version or
// a route.
package endpoint

import "github.com/jacinthgate/jacinthgate/state/model"

// Status is the liveness of a node. Among records of the same incarnation and
// sequence, the one with the higher status takes precedence.
type Status uint8

// The statuses, in order of precedence.
const (
	// StatusAlive is the status of a running node.
	StatusAlive Status = iota
	// StatusSuspect is the status of a node that a peer in its own zone can't
	// reach.
	StatusSuspect
	// StatusFailed is the status of a node that did not refute a suspicion in
	// time.
	StatusFailed
	// StatusLeft is the status of a node that shut down gracefully.
	StatusLeft
)

// Record is the state that one node announces about itself and the backend
// server on its host.
type Record struct {
	// Node identifies the node that owns the record.
	Node model.NodeID `json:"node" cbor:"1,keyasint"`
	// Zone is the owner's availability zone.
	Zone model.Zone `json:"zone" cbor:"2,keyasint"`
	// Region is the owner's region.
	Region model.Region `json:"region" cbor:"3,keyasint"`
	// PeerAddr is the UDP address of the owner's control endpoint, IP:port.
	PeerAddr string `json:"peerAddr" cbor:"4,keyasint"`
	// GateAddr is the TCP address of the owner's gate, IP:port.
	GateAddr string `json:"gateAddr" cbor:"5,keyasint"`
	// Incarnation increases with every start of the owner.
	Incarnation uint64 `json:"incarnation" cbor:"6,keyasint"`
	// Sequence increases with every change of the record within an
	// incarnation, including the refutation of a suspicion.
	Sequence uint64 `json:"sequence" cbor:"7,keyasint"`
	// Status is the liveness of the owner.
	Status Status `json:"status" cbor:"8,keyasint"`
	// Service is the service that the backend server offers; empty until a
	// backend server has announced itself.
	Service string `json:"service,omitempty" cbor:"9,keyasint,omitempty"`
	// Slots is the number of requests that the backend server executes
	// concurrently.
	Slots int `json:"slots,omitempty" cbor:"10,keyasint,omitempty"`
	// Connections is the number of connections the backend server accepts.
	Connections int `json:"connections,omitempty" cbor:"11,keyasint,omitempty"`
	// Draining means that the backend server accepts no new requests.
	Draining bool `json:"draining,omitempty" cbor:"12,keyasint,omitempty"`
	// Unready means that the backend server or the node currently can't serve
	// requests.
	Unready bool `json:"unready,omitempty" cbor:"13,keyasint,omitempty"`
	// Instance identifies the instance of the backend server, if it announces
	// one. The owner's gate refuses a request that names another instance.
	Instance string `json:"instance,omitempty" cbor:"15,keyasint,omitempty"`
	// Version is the version of the backend server's software, if it announces
	// one.
	Version string `json:"version,omitempty" cbor:"16,keyasint,omitempty"`
	// Cold means that the backend server has started recently and can handle
	// only few requests per second.
	Cold bool `json:"cold,omitempty" cbor:"17,keyasint,omitempty"`
	// Died is the time at which the owner was marked as failed or left, in
	// seconds of Unix time; 0 while it is live. A tombstone expires a fixed
	// time after it, so that relaying a tombstone doesn't extend its lifetime.
	// It is not used to order records.
	Died int64 `json:"died,omitempty" cbor:"14,keyasint,omitempty"`
}

// Live reports whether the owner is considered to be running: alive or suspect.
func (r *Record) Live() bool { return r.Status <= StatusSuspect }

// Supersedes reports whether r replaces o, which must be a record of the same
// node. It compares the incarnations first, then the sequences, then the
// statuses.
func (r Record) Supersedes(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Sequence != o.Sequence {
		return r.Sequence > o.Sequence
	}
	return r.Status > o.Status
}

// Serving reports whether new requests may be sent to the record's backend
// server. A suspect node still gets requests, because the sender's own
// observations of the node are given more weight than the suspicion.
func (r Record) Serving() bool {
	return r.Live() && r.Service != "" && !r.Draining && !r.Unready
}
