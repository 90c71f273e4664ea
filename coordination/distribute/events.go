package distribute

import (
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// HeadRead answers ReadHead.
type HeadRead struct {
	// Ref is the platform's head; the zero Ref when there is no version yet.
	Ref snapshot.Ref
	// Err is set when the head could not be read.
	Err error
}

// Loaded answers LoadVersion, or brings a version that this node has just
// accepted.
type Loaded struct {
	// Snapshot is the whole version; nil when Err is set.
	Snapshot *snapshot.Snapshot
	// Err is set when the version could not be read or is not valid.
	Err error
}

// Members gives the live members of the node's own zone.
type Members struct {
	// Live lists them; the node itself may be left out.
	Live []model.NodeID
}

// LeaseChanged reports that the node became or is no longer its zone's reader.
type LeaseChanged struct {
	// Held says that the node holds the lease.
	Held bool
	// Term is the lease's term.
	Term uint64
}

// Event implements core.Event.
func (HeadRead) Event() {}

// Event implements core.Event.
func (Loaded) Event() {}

// Event implements core.Event.
func (Members) Event() {}

// Event implements core.Event.
func (LeaseChanged) Event() {}

// ReadHead asks for the platform's head. The driver answers with HeadRead.
type ReadHead struct{}

// LoadVersion asks for a version from the platform: deltas from the version
// held, or the whole body. The driver answers with Loaded.
type LoadVersion struct {
	// Ref is the version wanted.
	Ref snapshot.Ref
}

// Swap makes a snapshot the one that requests are served with. It is always
// newer than the one before. While the node is not ready, no request may be
// served.
type Swap struct {
	// Snapshot is whole, consistent and checked.
	Snapshot *snapshot.Snapshot
}

// ReadyChanged says whether the node may serve requests.
type ReadyChanged struct {
	// Ready is the new state.
	Ready bool
}

// Action implements core.Action.
func (ReadHead) Action() {}

// Action implements core.Action.
func (LoadVersion) Action() {}

// Action implements core.Action.
func (Swap) Action() {}

// Action implements core.Action.
func (ReadyChanged) Action() {}
