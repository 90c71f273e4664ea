package rollout

import (
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/rollout"
)

// Ordered reports an order read from the store.
type Ordered struct {
	Order rollout.Order
}

// Learned reports the entries that the store held when the node started.
type Learned struct {
	Entries []rollout.Entry
}

// Recorded is the response to a Record.
type Recorded struct {
	Service string
	// Held is the entry that the store holds now; nil if the store gave no answer or holds
	// none.
	Held *rollout.Entry
	// Row is the revision of the row that holds the entry; 0 if there is none.
	Row uint64
	// Err is the reason why the store gave no answer; the write may still take effect.
	Err error
	// Outdated is set if the expected row revision belongs to a former epoch of the store:
	// the write wasn't made, or it isn't certain that its condition held.
	Outdated bool
}

// Counted reports the tallies of the host's backend server since the node started.
type Counted struct {
	// Service, Version and Instance identify the backend server; they are empty if there is
	// none.
	Service, Version, Instance string
	Tallies                    []rollout.Tally
}

// Servers reports a new view of the backend servers that may receive requests.
type Servers struct {
	View *endpoint.View
}

// Event implements core.Event.
func (Ordered) Event() {}

// Event implements core.Event.
func (Learned) Event() {}

// Event implements core.Event.
func (Recorded) Event() {}

// Event implements core.Event.
func (Counted) Event() {}

// Event implements core.Event.
func (Servers) Event() {}

// RoutingChanged requests that the driver publish the result of Core.Routing, which may have
// changed.
type RoutingChanged struct{}

// PhaseChanged reports that a roll-out has begun or has entered another phase.
type PhaseChanged struct {
	Entry rollout.Entry
	// FoundHere is set if this node has found the fault that stopped the roll-out.
	FoundHere bool
}

// Record requests a write of the entry to the store, on condition that the service's row
// still has the revision Row. The driver responds with Recorded.
type Record struct {
	Entry rollout.Entry
	Row   uint64
}

// Action implements core.Action.
func (RoutingChanged) Action() {}

// Action implements core.Action.
func (PhaseChanged) Action() {}

// Action implements core.Action.
func (Record) Action() {}
