package member

import (
	"fmt"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Announce reports the latest announcement of the backend server on the host. An empty
// Service means that the backend server is gone. If anything changed, the core increments
// the sequence of its own record and floods it.
type Announce struct {
	// Service is the service that the backend server offers.
	Service string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Connections is the number of connections that it accepts.
	Connections int
	// Draining is set when it accepts no new work.
	Draining bool
	// Unready is set when it can't serve any request at present.
	Unready bool
	// Instance identifies the instance (one start) of the backend server; it may be empty.
	Instance string
	// Version is the version of the backend server's software; it may be empty.
	Version string
	// Cold is set while the backend server is cold and can handle few requests per second.
	Cold bool
}

// Leave reports that the node shuts down gracefully. The core floods its own record with
// the status left and dials no more peers.
type Leave struct{}

// SeedsLearned replaces the seeds: the addresses, each IP:port, at which other members may
// be found.
type SeedsLearned struct {
	// Addrs are the seeds of the own zone and those whose zone is unknown.
	Addrs []string
	// OtherZoneAddrs are the seeds of other zones.
	OtherZoneAddrs []string
}

// Incarnate resolves an IdentityConflict by a higher incarnation of the own record.
type Incarnate struct {
	// Incarnation is ignored unless it is higher than the current one.
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

// TableChanged reports that Table().View() returns a newer view to publish. When changes
// are frequent, the driver may publish only a few times a second, because a view copies the
// index of services.
type TableChanged struct{}

// MembersChanged reports a change of the live members of the node's own zone.
type MembersChanged struct {
	// Live holds them in order of node key. It must not be modified.
	Live []model.NodeID
}

// GatewayChanged reports that the node became a gateway of its zone or ceased to be one.
type GatewayChanged struct {
	// Gateway is true if the node is now a gateway.
	Gateway bool
}

// IdentityConflict reports that a peer holds a record of this node that is newer than the
// node's own, or that has the same version but different content. Either another process
// runs with the same identity, or the node's incarnation was taken from a clock that had
// been set back. The driver stops the node or sends Incarnate.
type IdentityConflict struct {
	// Incarnation is the incarnation of that record.
	Incarnation uint64
}

// Refused reports a record that was rejected, for the log.
type Refused struct {
	// From is the peer that sent the record.
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

// ConflictError reports a received record of this node that has the incarnation and
// sequence of the own record but different content.
type ConflictError struct {
	// Incarnation and Sequence are those of the record.
	Incarnation, Sequence uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("received record of this node has the same version but different content: incarnation %d sequence %d",
		e.Incarnation, e.Sequence)
}

// FullError reports that the record of a new node was rejected because the table already
// holds Config.MaxRecords records.
type FullError struct {
	// Node is the node that the record describes.
	Node model.NodeID
	// Max is the table's capacity in records.
	Max int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("record of node %s rejected: table is full with %d records", e.Node, e.Max)
}

// Stats holds counters of the core since its start.
type Stats struct {
	// Refused counts rejected records.
	Refused uint64
	// Suspected counts suspicions raised by this node.
	Suspected uint64
	// SuspicionsSuppressed counts suspicions that were not raised because of the cap.
	SuspicionsSuppressed uint64
	// Failed counts members that this node marked as failed.
	Failed uint64
	// Refuted counts how often this node refuted a record that marked it as suspect or
	// dead.
	Refuted uint64
	// PeersRejected counts peers rejected because of Config.MaxPeers.
	PeersRejected uint64
	// Deferred counts RecordsRequests left unanswered because the response budget was
	// exhausted.
	Deferred uint64
}
