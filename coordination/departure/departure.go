// Package departure keeps the departures of backend servers for the whole fleet: which instances
// have said that they are shutting down. An instance that has departed is never sent to again.
//
// A node learns of a departure from the record of the host's node, which is draining, or from a
// peer. It remembers it for longer than the record lasts: the host's node may crash, and its next
// start knows nothing of it and replaces the record. Whoever remembers the departure tells that
// node when they connect, whichever side has dialled, and floods it when the node's new incarnation
// shows in a record. A node that starts offers its own backend server only once it has been told.
//
// If all processes of an availability zone that is cut off end, or all of a site while the store is
// away, nobody remembers. Nodes therefore tell each other how far back their memory reaches. A node
// is in doubt if no peer of its zone remembers long enough: it offers its backend server only once a
// Confirmation shows that it is still in service.
//
// The core is a pure state machine in the sense of coordination/core.
package departure

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Config holds the parameters of a Core.
type Config struct {
	// Zone is the node's availability zone.
	Zone model.Zone
	// Retention is how long a departure is remembered. It exceeds the time for which a backend
	// server runs on after its goodbye, and for which one of its heartbeats may be delayed.
	Retention time.Duration
	// MaxInstances bounds the remembered departures; the oldest are forgotten first.
	MaxInstances int
	// MaxPerNode bounds those of one node that are told to it.
	MaxPerNode int
	// TellDelay bounds the random delay before a departure is flooded to a node that has
	// started again. Its neighbours have told it by then if they know.
	TellDelay time.Duration
	// TellInterval is the minimum time between two floods of the same departure.
	TellInterval time.Duration
	// Settle is how long after the first connection to a peer the peers have told a node that
	// starts what they remember.
	Settle time.Duration
	// AloneAfter is how long after it has read the list of nodes a node without a peer counts as
	// the only one.
	AloneAfter time.Duration
	// FirstStart is set if the whole site starts for the first time, so that nothing has
	// departed before.
	FirstStart bool
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		Retention:    5 * time.Minute,
		MaxInstances: 1024,
		MaxPerNode:   8,
		TellDelay:    300 * time.Millisecond,
		TellInterval: time.Second,
		Settle:       250 * time.Millisecond,
		AloneAfter:   time.Second,
	}
}

// Leaving reports that the backend server beside this node says that it is shutting down.
type Leaving struct {
	// Instance is its instance.
	Instance string
	// Incarnation is this node's incarnation.
	Incarnation uint64
}

// Stated reports that a backend server beside any node has stated in a response that it is
// shutting down.
type Stated struct {
	// Node is the node beside which it runs; empty if it isn't known.
	Node model.NodeID
	// Incarnation is that node's incarnation; 0 if it isn't known.
	Incarnation uint64
	// Instance is its instance.
	Instance string
}

// ListRead reports the result of a read of the store's list of nodes.
type ListRead struct {
	// OwnDeparted is the instance beside this node that the store holds as departed; empty for
	// none.
	OwnDeparted string
	// Failed is set if the store didn't answer. The other fields are unset then.
	Failed bool
}

// Departed reports that an instance has departed.
type Departed struct {
	// Node is the node beside which it runs; empty if it isn't known.
	Node model.NodeID
	// Instance is the instance.
	Instance string
	// Offered is set if its node may still offer it, so that views of the backend servers have to
	// leave it out, see Core.Has. Departed is emitted again when it becomes set.
	Offered bool
}

// OwnDeparted reports that an instance beside this node had departed before this start of the
// node.
type OwnDeparted struct {
	// Instance is the instance.
	Instance string
	// Stored is set if the store holds the departure.
	Stored bool
}

// Kept reports that a peer remembers a departure that this node has reported as Leaving.
type Kept struct {
	// Instance is the instance.
	Instance string
}

// Settled reports that this node has been told what the fleet remembers of departures beside it, as
// far as anybody could be asked. Until then its backend server isn't offered. It is emitted a second
// time, without InDoubt, once nothing is in doubt any more.
type Settled struct {
	// InDoubt is set if a departure may have been forgotten: the memory of no peer in this zone
	// reaches back far enough, or the store hasn't answered. The backend server then has to be
	// confirmed, see Confirmation.
	InDoubt bool
}

// Event implements core.Event.
func (Leaving) Event() {}

// Event implements core.Event.
func (Stated) Event() {}

// Event implements core.Event.
func (ListRead) Event() {}

// Action implements core.Action.
func (Departed) Action() {}

// Action implements core.Action.
func (OwnDeparted) Action() {}

// Action implements core.Action.
func (Kept) Action() {}

// Action implements core.Action.
func (Settled) Action() {}
