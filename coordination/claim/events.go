package claim

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// Item is the current state of the request's item in the table service.
type Item struct {
	// Revision is the item's revision; 0 means that there is no item.
	Revision uint64
	// Record is the content.
	Record Record
	// Corrupt is set when the content could not be decoded.
	Corrupt bool
}

// Start starts the machine, which then writes the claim.
type Start struct{}

// Written reports that a Write took effect.
type Written struct {
	// Revision is the item's new revision.
	Revision uint64
}

// Conflict reports that a Write had no effect because its condition failed.
type Conflict struct {
	// Current is the item that the condition was checked against.
	Current Item
}

// WriteUnknown reports that a Write may have taken effect or may still take
// effect.
type WriteUnknown struct{}

// WriteFailed reports that a Write certainly had no effect.
type WriteFailed struct{}

// Loaded reports the result of a Read.
type Loaded struct {
	// Current is the item that was read.
	Current Item
}

// LoadFailed reports that a Read failed.
type LoadFailed struct{}

// Cancelled reports that the caller's deadline passed, or that the caller
// disconnected, before the request was sent. The driver still reports the
// result of the outstanding Write or Read.
type Cancelled struct{}

// Dispatch requests permission to send the request to a backend server. The
// driver sends this event right before each send; Step returns Send or Refuse.
type Dispatch struct{}

// Answered reports the backend server's complete response.
type Answered struct {
	// Answer is the response to keep for retries.
	Answer Answer
}

// NotRun reports that the request certainly did not run at any backend server.
type NotRun struct{}

// OutcomeLost reports that the request may have run and that its response is lost.
type OutcomeLost struct{}

// Retry reports that the delay of a RetryLater is over.
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
func (OutcomeLost) Event() {}

// Event implements core.Event.
func (Retry) Event() {}

// Write is a conditional write of the request's item. The driver reports its
// result with Written, Conflict, WriteUnknown or WriteFailed.
type Write struct {
	// Record is the new content.
	Record Record
	// IfRevision is the revision that the item must have; 0 means that the
	// item must not exist.
	IfRevision uint64
}

// Read is a consistent read of the request's item. The driver reports its
// result with Loaded or LoadFailed.
type Read struct{}

// Proceed reports that the request holds the claim on its key. The driver may
// go on to Dispatch.
type Proceed struct{}

// Send permits one send of the request, now.
type Send struct{}

// Replay answers the request with the response to an earlier request with the
// same key.
type Replay struct {
	// Answer is the complete earlier response.
	Answer Answer
}

// Refuse answers the request without sending it.
type Refuse struct {
	// Outcome is NotRun or Unknown.
	Outcome outcome.Outcome
	// Reason is the reason for the refusal.
	Reason outcome.Reason
	// RetryAfter is the delay before a retry with the same key; 0 means that
	// a retry does not help.
	RetryAfter time.Duration
}

// RetryLater requests a Retry event after a delay.
type RetryLater struct {
	// After is the delay; the driver adds jitter.
	After time.Duration
}

// GiveUp reports that the machine stopped before it wrote the final record:
// the key stays claimed until the record is deleted.
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
