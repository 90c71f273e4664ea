package docsync

import "github.com/jacinthgate/jacinthgate/state/model"

// Members reports the live members of the node's availability zone.
type Members struct {
	// Live is in order of node key.
	Live []model.NodeID
}

// StoreRead reports the end of one read of the store. A read may wait for a
// change and end without one: Version is then 0 and Err nil.
type StoreRead struct {
	// Version is the document's version.
	Version uint64
	// Body is the encoded document.
	Body []byte
	// Life is the store's life that has answered; 0 is not told.
	Life uint64
	// Err says why the store gave no answer.
	Err error
}

// FirstInZone reports that the node found no registered node of its zone. It has no peer there to
// get the document from and reads the store without waiting for ReadDelay.
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

// SetReading turns the driver's reads of the store on and off. While they are
// on, the driver reads again after each StoreRead. A later one replaces an earlier
// one.
type SetReading struct {
	// On says whether to read.
	On bool
	// Once says to read only until the next StoreRead.
	Once bool
}

// Apply asks for a document to be put in force.
type Apply struct {
	// Version is higher than that of every earlier Apply.
	Version uint64
	// Body is the encoded document.
	Body []byte
	// From names the peer that sent it; empty for the store.
	From model.NodeID
}

// Action implements core.Action.
func (SetReading) Action() {}

// Action implements core.Action.
func (Apply) Action() {}
