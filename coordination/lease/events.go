package lease

import "github.com/jacinthgate/jacinthgate/state/model"

// Item is the content of the item that represents the lease in the table
// service.
type Item struct {
	// Holder is the node that holds the lease; empty after a release.
	Holder model.NodeID `json:"holder"`
	// Incarnation is the holder's incarnation.
	Incarnation uint64 `json:"incarnation"`
	// Term rises by one with each takeover.
	Term uint64 `json:"term"`
	// Address is the holder's control address, IP:port.
	Address string `json:"address"`
}

// Candidate sets whether the node contends for the lease.
type Candidate struct {
	// Contend is false for a node that must not hold the lease; if it holds the
	// lease, it releases it.
	Contend bool
}

// ItemRead is the response to ReadItem.
type ItemRead struct {
	// ID is the ID of the ReadItem.
	ID uint64
	// Item is the content; the zero Item if the item doesn't exist yet.
	Item Item
	// Revision is the item's revision; 0 if the item doesn't exist yet.
	Revision uint64
	// Err is set when the item could not be read.
	Err error
}

// WriteResult is the result of a conditional write.
type WriteResult uint8

// The results of a write.
const (
	// WriteDone means that the write took effect.
	WriteDone WriteResult = iota
	// WriteRefused means that the write did not take effect, as the item has
	// another revision.
	WriteRefused
	// WriteFailed means that the write certainly did not take effect.
	WriteFailed
	// WriteUnknown means that the write may have taken effect or may do so later.
	WriteUnknown
)

// Written is the response to WriteItem.
type Written struct {
	// ID is the ID of the WriteItem.
	ID uint64
	// Result is the result of the write.
	Result WriteResult
	// Revision is the item's new revision if Result is WriteDone.
	Revision uint64
}

// Event implements core.Event.
func (Candidate) Event() {}

// Event implements core.Event.
func (ItemRead) Event() {}

// Event implements core.Event.
func (Written) Event() {}

// ReadItem requests a consistent read of the item.
type ReadItem struct {
	// ID must be returned in ItemRead.
	ID uint64
}

// WriteItem requests a conditional write of the item. The write must be sent at
// once and must not be retried.
type WriteItem struct {
	// ID must be returned in Written.
	ID uint64
	// Item is the new content.
	Item Item
	// IfRevision is the revision that the item must have; 0 if the item must not
	// exist.
	IfRevision uint64
}

// Action implements core.Action.
func (ReadItem) Action() {}

// Action implements core.Action.
func (WriteItem) Action() {}
