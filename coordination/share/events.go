// Package share divides fleet-wide limits among nodes by demand, by means of
// grants that expire.
//
// A small fraction of each limit, the floor, is split evenly over all nodes
// and never granted. The rest is split evenly over the zones: each zone owns
// its share, also while it is cut off from the others. The zone's reader lends
// the unused part of its zone's share to readers that request it (Allocator).
// Within a zone, demand is summed along a tree towards the reader, and grants
// are split on the way back, by the same rule at each node (Holder). The
// issuer of a grant keeps it in a ledger until it has expired, so that the sum
// of all live grants and floors stays within the limit whichever messages are
// lost.
package share

import (
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Measured reports to the Holder the demand of callers at this node since the
// previous Measured, for limits in use only. Drivers send one each Interval.
type Measured struct {
	// Items must not be changed afterwards.
	Items []message.DemandItem
}

// Route sets the Holder's next hop towards the zone's reader. Drivers send one
// when it changes.
type Route struct {
	// Upstream is the neighbour towards the reader. It is this node itself on the
	// reader, and empty while no route is known.
	Upstream model.NodeID
	// Zones is the number of zones of the fleet, including those that are cut off.
	Zones int
	// Members is the number of members of the zone that are not known to have
	// left.
	Members int
}

// Lead makes the Allocator act as its zone's reader, and lists the readers of
// the other zones. Drivers send one when it changes.
type Lead struct {
	// Term is the reader's lease term.
	Term uint64
	// Zones is the number of zones of the fleet, including those that are cut off.
	Zones int
	// Members is the number of members of the zone that are not known to have
	// left, this one included.
	Members int
	// Readers are the readers of the other zones.
	Readers map[model.Zone]model.NodeID
}

// Follow makes the Allocator stop acting as its zone's reader.
type Follow struct{}

// Limits sets the limits in force for the Allocator.
type Limits struct {
	// Snapshot is the configuration version in force.
	Snapshot *snapshot.Snapshot
}

// Event implements core.Event.
func (Measured) Event() {}

// Event implements core.Event.
func (Route) Event() {}

// Event implements core.Event.
func (Lead) Event() {}

// Event implements core.Event.
func (Follow) Event() {}

// Event implements core.Event.
func (Limits) Event() {}

// SetFloor sets the fraction of each limit that the node may always use.
type SetFloor struct {
	// Fraction is 0 to 1.
	Fraction float64
}

// SetShare sets the node's grant of one limit, in addition to the floor.
type SetShare struct {
	// Limit is the limit's name.
	Limit string
	// Amount is the grant.
	Amount Amount
}

// ClearShare ends the grant of one limit.
type ClearShare struct {
	// Limit is the limit's name.
	Limit string
}

// Action implements core.Action.
func (SetFloor) Action() {}

// Action implements core.Action.
func (SetShare) Action() {}

// Action implements core.Action.
func (ClearShare) Action() {}
