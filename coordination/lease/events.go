package lease

import "github.com/jacinthgate/jacinthgate/state/model"

// Item is the content of the lease's item in the table service.
type Item struct {
	// Holder is the node that holds the lease; empty when it was released.
	Holder model.NodeID `json:"holder"`
	// Incarnation is the holder's incarnation.
	Incarnation uint64 `json:"incarnation"`
	// Term rises by one with each takeover.
	Term uint64 `json:"term"`
	// Address is the holder's control address, IP:port.
	Address string `json:"address"`
}

// Candidate says whether the node contends for the lease.
type Candidate struct {
	// Contend is false for a node that must not hold the lease; a holder then
	// releases it.
	Contend bool
}

// ItemRead answers ReadItem.
type ItemRead struct {
	// ID is the read's.
	ID uint64
	// Item is the content; the zero Item when there is none yet.
	Item Item
	// Revision is the item's revision; 0 when there is none yet.
	Revision uint64
	// Err is set when the item could not be read.
	Err error
}

// WriteResult says what became of a conditional write.
type WriteResult uint8

// The results of a write.
const (
	// WriteDone took effect.
	WriteDone WriteResult = iota
	// WriteRefused did not, as the item has another revision.
	WriteRefused
	// WriteFailed certainly did not take effect.
	WriteFailed
	// WriteUnknown may have taken effect, now or later.
	WriteUnknown
)

// Written answers WriteItem.
type Written struct {
	// ID is the write's.
	ID uint64
	// Result says what became of it.
	Result WriteResult
	// Revision is the item's new revision when it is done.
	Revision uint64
}

// Event implements core.Event.
func (Candidate) Event() {}

// Event implements core.Event.
func (ItemRead) Event() {}

// Event implements core.Event.
func (Written) Event() {}

// ReadItem asks for a consistent read of the item.
type ReadItem struct {
	// ID is to be given back in ItemRead.
	ID uint64
}

// WriteItem asks for a conditional write of the item. It must be sent at once
// and must not be repeated.
type WriteItem struct {
	// ID is to be given back in Written.
	ID uint64
	// Item is the new content.
	Item Item
	// IfRevision is the revision that the item must have; 0 means none.
	IfRevision uint64
}

// Action implements core.Action.
func (ReadItem) Action() {}

// Action implements core.Action.
func (WriteItem) Action() {}
