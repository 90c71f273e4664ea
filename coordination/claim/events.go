package claim

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// Item is a record as it was read.
type Item struct {
	// Revision is the item's revision; 0 means that there is no item.
	Revision uint64
	// Record is the content.
	Record Record
	// Corrupt says that the content could not be decoded.
	Corrupt bool
}

// Start begins the request.
type Start struct{}

// Written reports that a Write took effect.
type Written struct {
	// Revision is the item's new revision.
	Revision uint64
}

// Conflict reports that a Write had no effect since its condition failed.
type Conflict struct {
	// Current is the item as it is.
	Current Item
}

// WriteUnknown reports that a Write may have taken effect or may still do so.
type WriteUnknown struct{}

// WriteFailed reports that a Write certainly had no effect.
type WriteFailed struct{}

// Loaded reports the result of a Read.
type Loaded struct {
	// Current is the item as it is.
	Current Item
}

// LoadFailed reports that a Read failed.
type LoadFailed struct{}

// Cancelled reports that the caller's deadline passed or that it went away
// before the request was sent. The result of the outstanding Write or Read is
// still reported.
type Cancelled struct{}

// Dispatch asks for leave to send the request to a backend server. It comes
// right before each send.
type Dispatch struct{}

// Answered reports the backend server's whole answer.
type Answered struct {
	// Answer is what is kept for repeats.
	Answer Answer
}

// NotRun reports that no send of this request ran, for certain.
type NotRun struct{}

// Lost reports that the request may have run and that its answer is lost.
type Lost struct{}

// Retry reports that the time of a RetryLater has passed.
type Retry struct{}

// Event implements core.Event.
func (Start) Event() {}

// Event implements core.Event.
func (Written) Event() {}

// Event implements core.Event.
func (Conflict) Event() {}

// Event implements core.Event.
func (WriteUnknown) Event() {}

// Event implements core.Event.
func (WriteFailed) Event() {}

// Event implements core.Event.
func (Loaded) Event() {}

// Event implements core.Event.
func (LoadFailed) Event() {}

// Event implements core.Event.
func (Cancelled) Event() {}

// Event implements core.Event.
func (Dispatch) Event() {}

// Event implements core.Event.
func (Answered) Event() {}

// Event implements core.Event.
func (NotRun) Event() {}

// Event implements core.Event.
func (Lost) Event() {}

// Event implements core.Event.
func (Retry) Event() {}

// Write asks for a conditional write of the request's item. The driver
// answers with Written, Conflict, WriteUnknown or WriteFailed.
type Write struct {
	// Record is the new content.
	Record Record
	// IfRevision is the revision that the item must have.
	IfRevision uint64
}

// Read asks for a consistent read of the request's item. The driver answers
// with Loaded or LoadFailed.
type Read struct{}

// Proceed says that the request holds its key and may be sent.
type Proceed struct{}

// Send says that the request may be sent now, once.
type Send struct{}

// Replay answers the request with the answer of an earlier one.
type Replay struct {
	// Answer is the earlier answer, whole.
	Answer Answer
}

// Refuse answers the request without sending it.
type Refuse struct {
	// Outcome is NotRun or Unknown.
	Outcome outcome.Outcome
	// Reason says why.
	Reason outcome.Reason
	// RetryAfter is when to come back with the same key; 0 means that coming
	// back does not help.
	RetryAfter time.Duration
}

// RetryLater asks for a Retry event.
type RetryLater struct {
	// After is the time to wait; the driver adds jitter.
	After time.Duration
}

// GiveUp says that background work ended without effect: the key stays
// claimed until it expires.
type GiveUp struct{}

// Action implements core.Action.
func (Write) Action() {}

// Action implements core.Action.
func (Read) Action() {}

// Action implements core.Action.
func (Proceed) Action() {}

// Action implements core.Action.
func (Send) Action() {}

// Action implements core.Action.
func (Replay) Action() {}

// Action implements core.Action.
func (Refuse) Action() {}

// Action implements core.Action.
func (RetryLater) Action() {}

// Action implements core.Action.
func (GiveUp) Action() {}
