// Package share shares fleet-wide limits out by demand, with grants that
// expire.
//
// Of each limit a small part, the floor, is split evenly over all nodes and
// never granted. The rest is split evenly over the zones; that is what each
// zone owns, also when it is cut off. The zone's reader lends what its zone
// does not use to readers that ask (Allocator). Within a zone demand is summed
// on the way up to the reader and grants are split on the way down, by the
// same rule at each node (Holder). Whoever grants keeps count of what it
// granted until that has expired, so that the sum of all live grants and
// floors stays within the limit whatever is lost on the way.
package share

import (
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Measured tells the Holder what callers offered to this node since the last
// one, for limits in use only. Drivers send one each Interval.
type Measured struct {
	// Items must not be changed afterwards.
	Items []message.DemandItem
}

// Route tells the Holder the way to the zone's reader. Drivers send one when
// it changes.
type Route struct {
	// Upstream is the neighbour towards the reader. It is this node itself on
	// the reader, and empty while there is no way.
	Upstream model.NodeID
	// Zones is the number of zones of the fleet, the cut ones included.
	Zones int
	// Members is the number of members of the zone that are not known to have
	// left.
	Members int
}

// Lead tells the Allocator that this node is its zone's reader, and which
// nodes are those of other zones. Drivers send one when it changes.
type Lead struct {
	// Term is the reader's lease term.
	Term uint64
	// Zones is the number of zones of the fleet, the cut ones included.
	Zones int
	// Members is the number of members of the zone that are not known to have
	// left, this one included.
	Members int
	// Readers are the readers of the other zones.
	Readers map[model.Zone]model.NodeID
}

// Follow tells the Allocator that this node is not its zone's reader.
type Follow struct{}

// Limits tells the Allocator the limits in force.
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

// SetFloor sets the part of each limit that the node always has.
type SetFloor struct {
	// Part is 0 to 1.
	Part float64
}

// SetShare sets what is granted to the node of one limit, on top of the floor.
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
