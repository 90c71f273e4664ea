// Package core defines the events and actions that the decision cores of the
// control plane share.
//
// A core is a pure state machine: Step takes an event and the time and returns
// actions. It does no I/O, starts no goroutine, reads no clock and takes its
// randomness from a seeded source, so that a daemon, a test under virtual time
// and a property test can all drive it. A core is not safe for concurrent use;
// one goroutine owns it.
package core

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Event is an input of a core. Each core documents the events that it takes and
// ignores the others.
type Event interface {
	// Event marks a type as an event; it does nothing.
	Event()
}

// Action is an output of a core, to be performed by its driver. The driver
// performs actions in the order in which Step returns them.
type Action interface {
	// Action marks a type as an action; it does nothing.
	Action()
}

// Tick reports that time has passed. Drivers send one at least every 100 ms.
type Tick struct{}

// PeerUp reports that a connection to a peer is established: Hello and Welcome have
// been exchanged.
type PeerUp struct {
	// Record is the peer's endpoint record, as sent by the peer itself.
	Record endpoint.Record
	// Held is the configuration version that the peer holds.
	Held snapshot.Ref
	// Ready says that the peer serves requests with Held.
	Ready bool
	// Digest is the digest of the peer's endpoint table, by zone.
	Digest []message.ZoneDigest
	// LastHeld is the newest version that, by the peer's record, this node has held;
	// 0 if the peer has recorded none.
	LastHeld uint64
	// LastHeldValid says that LastHeld refers to this node, so that 0 means that the peer
	// has recorded no version: it came in a Welcome, or in a Hello addressed to this
	// node by name.
	LastHeldValid bool
	// Welcomed is set on the side that dialled. Only then is Incarnation set, from the
	// peer's Welcome.
	Welcomed bool
	// Incarnation is the newest incarnation of this node that the peer has recorded.
	Incarnation uint64
	// Drained says that, by the peer's record, this node's backend server was
	// draining in the node's last incarnation.
	Drained bool
	// DrainedInstance is the instance of that backend server, if it has one.
	DrainedInstance string
	// Remembers is how far back the peer's memory of departures reaches; 0 if it doesn't report it.
	Remembers time.Duration
}

// PeerDown reports that the last connection to a peer has closed.
type PeerDown struct {
	// Node is the peer.
	Node model.NodeID
}

// DialFailed reports that a Connect action failed.
type DialFailed struct {
	// Node is the peer; empty for a seed address whose node isn't known.
	Node model.NodeID
	// Addr is the address that was dialled.
	Addr string
}

// Received reports a message from a connected peer.
type Received struct {
	// From is the peer.
	From model.NodeID
	// Message is the decoded message.
	Message message.Message
}

// Event implements Event.
func (Tick) Event() {}

// Event implements Event.
func (PeerUp) Event() {}

// Event implements Event.
func (PeerDown) Event() {}

// Event implements Event.
func (DialFailed) Event() {}

// Event implements Event.
func (Received) Event() {}

// Send sends a message to a connected peer. The driver drops the message if the peer
// is no longer connected.
type Send struct {
	// To is the peer.
	To model.NodeID
	// Priority orders the message among those queued for the peer.
	Priority message.Priority
	// Message is the message; it must not be modified afterwards.
	Message message.Message
}

// Connect opens a connection to a peer. The driver reports the result as PeerUp or
// DialFailed.
type Connect struct {
	// Node is the peer; empty for a seed address whose node isn't known.
	Node model.NodeID
	// Addr is the peer's control address, IP:port.
	Addr string
}

// Disconnect closes the connection to a peer.
type Disconnect struct {
	// Node is the peer.
	Node model.NodeID
}

// Action implements Action.
func (Send) Action() {}

// Action implements Action.
func (Connect) Action() {}

// Action implements Action.
func (Disconnect) Action() {}
