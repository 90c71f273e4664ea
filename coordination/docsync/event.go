package docsync

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Members reports the live members of the node's availability zone.
type Members struct {
	// Live lists the members in the order of their keys.
	Live []model.NodeID
}

// StoreRead reports the end of one read of the store. A read may wait for a
// change and end without one; Version is then 0 and Err nil.
type StoreRead struct {
	// Version is the document's version.
	Version uint64
	// Body is the encoded document.
	Body []byte
	// Epoch is the store's epoch at the read; 0 if unknown.
	Epoch uint64
	// Err is the cause of a failed read.
	Err error
	// Unanswered is set if the read failed because the store did not answer in time.
	Unanswered bool
}

// FirstInZone reports that no node of this node's zone is registered. With no peer in the zone to get
// the document from, the node reads the store without waiting for the rest of ReadDelay.
type FirstInZone struct{}

// Rejected reports that an applied document could not be used.
type Rejected struct {
	// Version is the document's version.
	Version uint64
}

// Event implements core.Event.
func (Members) Event() {}

// Event implements core.Event.
func (StoreRead) Event() {}

// Event implements core.Event.
func (FirstInZone) Event() {}

// Event implements core.Event.
func (Rejected) Event() {}

// SetReading turns the driver's reads of the store on or off. While they are
// on, the driver reads again after each StoreRead. Each SetReading replaces the
// previous one.
type SetReading struct {
	// On turns reading on.
	On bool
	// Once limits reading to the next StoreRead.
	Once bool
}

// Apply requests that the driver put a document into effect.
type Apply struct {
	// Version is higher than that of every earlier Apply.
	Version uint64
	// Body is the encoded document.
	Body []byte
	// From is the peer that sent the document; empty for the store.
	From model.NodeID
	// BehindFor is how long the node had known of a newer version than the one it held.
	BehindFor time.Duration
}

// Late reports, once for each version, that the node has held an older one for LateAfter although
// it knew of a newer one.
type Late struct {
	// Version is the newest version known, and Held the one last applied.
	Version, Held uint64
	// Source is the peer from which a document was requested last; empty for none.
	Source model.NodeID
}

// Action implements core.Action.
func (SetReading) Action() {}

// Action implements core.Action.
func (Apply) Action() {}

// Action implements core.Action.
func (Late) Action() {}
