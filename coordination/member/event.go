package member

import (
	"fmt"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Announce reports what the backend server on the host announced of itself.
// An empty Service reports that it went away. The core raises the sequence of
// its own record when something changed.
type Announce struct {
	// Service is the service offered.
	Service string
	// Slots is the number of requests run at one time.
	Slots int
	// Connections is the number of connections accepted.
	Connections int
	// Draining says that no new work is taken.
	Draining bool
	// Unready says that no request can be served now.
	Unready bool
	// Instance identifies the start of the backend server; it may be empty.
	Instance string
	// Version is the version of the backend server's software; it may be empty.
	Version string
	// Cold says that the backend server is cold and can handle few requests per second.
	Cold bool
}

// Leave reports that the node shuts down gracefully. The core floods its
// record as left and opens no further links.
type Leave struct{}

// SeedsLearned replaces the addresses at which other members may be found, each IP:port.
type SeedsLearned struct {
	// Addrs are those of the own zone, and of members whose zone isn't known.
	Addrs []string
	// Far are those of other zones.
	Far []string
}

// Incarnate answers an IdentityConflict by a higher incarnation.
type Incarnate struct {
	// Incarnation is ignored unless it is higher than the present one.
	Incarnation uint64
}

// Event implements core.Event.
func (Announce) Event() {}

// Event implements core.Event.
func (Leave) Event() {}

// Event implements core.Event.
func (SeedsLearned) Event() {}

// Event implements core.Event.
func (Incarnate) Event() {}

// TableChanged reports that Table().View() returns a newer view to publish. In
// a herd of changes the driver may publish a few times a second only: a view
// copies the index of services.
type TableChanged struct{}

// MembersChanged reports the live members of the node's own zone.
type MembersChanged struct {
	// Live is in order of node key. It must not be changed.
	Live []model.NodeID
}

// GatewayChanged reports whether the node is a gateway of its zone.
type GatewayChanged struct {
	// Gateway is true on a gateway.
	Gateway bool
}

// IdentityConflict reports that the fleet knows a newer record of this node
// than the node itself: its identity runs elsewhere, or its incarnation was
// taken from a clock that went back. The driver stops the node or sends
// Incarnate.
type IdentityConflict struct {
	// Incarnation is the newest incarnation that the fleet knows.
	Incarnation uint64
}

// Refused reports a record that was not taken in, for the log.
type Refused struct {
	// From is the peer that sent it.
	From model.NodeID
	// Err is an *endpoint.InvalidRecordError, *ConflictError or *FullError.
	Err error
}

// Action implements core.Action.
func (TableChanged) Action() {}

// Action implements core.Action.
func (MembersChanged) Action() {}

// Action implements core.Action.
func (GatewayChanged) Action() {}

// Action implements core.Action.
func (IdentityConflict) Action() {}

// Action implements core.Action.
func (Refused) Action() {}

// ConflictError reports a record in this node's name that has its incarnation
// and sequence but other content.
type ConflictError struct {
	// Incarnation and Sequence are those of the record.
	Incarnation, Sequence uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("record in own name with other content: incarnation %d sequence %d",
		e.Incarnation, e.Sequence)
}

// FullError reports a new node's record that exceeds Config.MaxRecords.
type FullError struct {
	// Node is the owner of the record.
	Node model.NodeID
	// Max is the table's bound.
	Max int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("record of node %s refused: table holds %d records", e.Node, e.Max)
}

// Stats counts what the core has done since it started.
type Stats struct {
	// Refused counts records that were not taken in.
	Refused uint64
	// Suspected counts suspicions that this node raised.
	Suspected uint64
	// Withheld counts suspicions that the cap kept back.
	Withheld uint64
	// Failed counts members that this node found failed.
	Failed uint64
	// Refuted counts refutations of this node's own death.
	Refuted uint64
	// TurnedAway counts peers refused for want of room.
	TurnedAway uint64
	// Deferred counts RecordsRequests not answered for want of budget.
	Deferred uint64
}
