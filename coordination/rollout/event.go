package rollout

import (
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/rollout"
)

// Ordered reports an order that was read in the store.
type Ordered struct {
	Order rollout.Order
}

// Learned reports what the store held of roll-outs when the node started.
type Learned struct {
	Entries []rollout.Entry
}

// Recorded answers a Record.
type Recorded struct {
	// Service is the service.
	Service string
	// Held is what the store holds now; nil without an answer, or where it holds none.
	Held *rollout.Entry
	// Row is the revision of the row that holds it; 0 where there is none.
	Row uint64
	// Err says why the store gave no answer; what was asked for may still be done.
	Err error
	// Outdated says that the row's revision was of a life of the store that is over: the
	// write wasn't made, or it isn't certain that its condition held.
	Outdated bool
}

// Counted reports what the host's backend server has done since the node's start.
type Counted struct {
	// Service, Version and Instance are those of the backend server; empty without one.
	Service, Version, Instance string
	Tallies                    []rollout.Tally
}

// Servers reports the backend servers that may serve.
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

// Changed reports that Lanes returns other lanes to publish.
type Changed struct{}

// Turned reports that a roll-out has got on.
type Turned struct {
	Entry rollout.Entry
	// FoundHere says that this node has found the fault that stopped it.
	FoundHere bool
}

// Record asks for the store to be told of a roll-out, if the row of the service still
// has the revision Row. The driver answers with Recorded.
type Record struct {
	Entry rollout.Entry
	Row   uint64
}

// Action implements core.Action.
func (Changed) Action() {}

// Action implements core.Action.
func (Turned) Action() {}

// Action implements core.Action.
func (Record) Action() {}
