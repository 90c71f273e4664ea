package distribute

import (
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// HeadRead is the result of ReadHead.
type HeadRead struct {
	// Ref is the platform's head, or the zero Ref while the platform has no
	// version.
	Ref snapshot.Ref
	// Err is set when the head could not be read.
	Err error
}

// Loaded is the result of LoadVersion, or delivers a version that the platform
// has just accepted through this node.
type Loaded struct {
	// Snapshot is the whole version; nil when Err is set.
	Snapshot *snapshot.Snapshot
	// Err is set when the version could not be read or is not valid.
	Err error
}

// Members reports the live members of the node's own zone.
type Members struct {
	// Live are the members; the node itself may be omitted.
	Live []model.NodeID
}

// LeaseChanged reports that the node has become its zone's reader or no longer
// is.
type LeaseChanged struct {
	// Held is set when the node holds the reader's lease.
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

// ReadHead requests a read of the platform's head. The driver returns the
// result as HeadRead.
type ReadHead struct{}

// LoadVersion requests a version from the platform, either as deltas from the
// version held or whole. The driver returns the result as Loaded.
type LoadVersion struct {
	// Ref is the requested version.
	Ref snapshot.Ref
}

// Swap makes a snapshot the one that requests are served with. It is always
// newer than the previous one. While the node is not ready, no request may be
// served.
type Swap struct {
	// Snapshot is whole, consistent and checked.
	Snapshot *snapshot.Snapshot
}

// ReadyChanged reports whether the node may now serve requests.
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
