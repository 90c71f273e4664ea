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
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Event is something that happened. Each core documents the events it takes
// and ignores the others.
type Event interface {
	// Event marks the type.
	Event()
}

// Action is something that the driver must do. Actions are carried out in the
// order returned.
type Action interface {
	// Action marks the type.
	Action()
}

// Tick tells a core that time has passed. Drivers send one at least every
// 100 ms.
type Tick struct{}

// PeerUp reports a connection to a peer after Hello and Welcome.
type PeerUp struct {
	// Record is the peer's own record.
	Record endpoint.Record
	// Held is the version the peer holds.
	Held snapshot.Ref
	// Ready says that the peer serves requests with Held.
	Ready bool
	// Digest is the peer's endpoint table's digest.
	Digest []message.ZoneDigest
	// LastHeld is the newest version the peer knows this node to have held; 0
	// when it knows none.
	LastHeld uint64
	// Answered says that LastHeld is what the peer remembers of this very node:
	// in a Welcome, or in a Hello that names it.
	Answered bool
	// Welcomed is set on the side that dialled: Incarnation and Drained are the
	// peer's answers about this node.
	Welcomed bool
	// Incarnation is the newest incarnation of this node that the peer knows.
	Incarnation uint64
	// Drained says that the peer knows this node's backend server to have been
	// draining in the node's last incarnation.
	Drained bool
	// DrainedInstance is that backend server's instance, where it has one.
	DrainedInstance string
}

// PeerDown reports that the last connection to a peer ended.
type PeerDown struct {
	// Node is the peer.
	Node model.NodeID
}

// DialFailed reports that a Connect failed.
type DialFailed struct {
	// Node is the peer; empty for a seed whose name is not known.
	Node model.NodeID
	// Addr is the address dialled.
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

// Send asks for a message to be sent to a connected peer. It is dropped when
// the peer is no longer connected.
type Send struct {
	// To is the peer.
	To model.NodeID
	// Priority orders it among the messages that wait for the peer.
	Priority message.Priority
	// Message must not be changed afterwards.
	Message message.Message
}

// Connect asks for a connection. The driver answers with PeerUp or DialFailed.
type Connect struct {
	// Node is the peer; empty for a seed whose name is not known.
	Node model.NodeID
	// Addr is the peer's control address, IP:port.
	Addr string
}

// Disconnect asks for a connection to be closed.
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
