package accept

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Result is the outcome of a call to the platform.
type Result uint8

// The outcomes of a call.
const (
	// Done means that the call succeeded.
	Done Result = iota
	// Failed means that the call certainly had no effect.
	Failed
	// Unknown means that the call may have taken effect or may still do so.
	Unknown
	// ConditionFailed means that the whole transaction was rejected because an
	// item did not have the required revision.
	ConditionFailed
)

// Start is the first event of a machine.
type Start struct{}

// Cancel ends the change early.
type Cancel struct {
	// Err is the reason.
	Err error
}

// HeadRead is the result of ReadHead.
type HeadRead struct {
	// Result is Done or Failed.
	Result Result
	// Err is the error; nil when Result is Done.
	Err error
	// Head is the head; the zero Head, with Revision 0, when there is none.
	Head Head
	// Revision is the head item's revision.
	Revision uint64
}

// RecordRead is the result of ReadRecord.
type RecordRead struct {
	// Result is Done or Failed.
	Result Result
	// Err is the error; nil when Result is Done.
	Err error
	// Record is the change's record; nil when there is none.
	Record *Record
}

// BaseLoaded is the result of LoadBase.
type BaseLoaded struct {
	// Err is the error; nil when Snapshot is set.
	Err error
	// Snapshot is the requested version.
	Snapshot *snapshot.Snapshot
}

// ObjectPut is the result of PutObject.
type ObjectPut struct {
	// Result is Done, Failed or Unknown.
	Result Result
	// Err is the error; nil when Result is Done.
	Err error
}

// HeadWritten is the result of WriteHead.
type HeadWritten struct {
	// Result is any of the outcomes.
	Result Result
	// Err is the error; nil when Result is Done.
	Err error
}

// Event implements core.Event.
func (Start) Event() {}

// Event implements core.Event.
func (Cancel) Event() {}

// Event implements core.Event.
func (HeadRead) Event() {}

// Event implements core.Event.
func (RecordRead) Event() {}

// Event implements core.Event.
func (BaseLoaded) Event() {}

// Event implements core.Event.
func (ObjectPut) Event() {}

// Event implements core.Event.
func (HeadWritten) Event() {}

// ReadHead requests a consistent read of the head item, HeadKey.
type ReadHead struct{}

// ReadRecord requests a consistent read of the change's record. It follows only on
// the result of ReadHead, so that the record is at least as recent as the head.
type ReadRecord struct {
	// ChangeID is the change's id.
	ChangeID string
}

// LoadBase requests the version that the head names.
type LoadBase struct {
	// Held is a version that the accepter holds already, to which deltas may be
	// applied; it may be the empty one.
	Held *snapshot.Snapshot
	// Head is the head.
	Head Head
}

// PutObject requests that an object be stored.
type PutObject struct {
	// Key and Body are the object's key and content.
	Key  string
	Body []byte
}

// WriteHead requests one transaction that writes the head item and creates the
// change's record, on condition that the head item has revision HeadRevision and
// that the record does not exist. Without a Record it writes the head item only.
type WriteHead struct {
	// HeadRevision is the revision that the head item must have; 0 requires
	// that it does not exist.
	HeadRevision uint64
	// Head is the head item's new value.
	Head []byte
	// RecordKey and Record are the key and value of the change's record; empty
	// for none.
	RecordKey string
	Record    []byte
}

// Wait requests a core.Tick at the given time or later.
type Wait struct {
	// Until is the time.
	Until time.Time
}

// Finish reports the outcome of the change. It is the last action.
type Finish struct {
	// Accepted is set when Err is nil.
	Accepted Accepted
	// Err is a *ConflictError, *InvalidError, *ChangeIDError, *RefusedError
	// or *UnknownOutcomeError.
	Err error
}

// Accepted is the outcome of a change that was accepted.
type Accepted struct {
	// Ref is the version in which the change was accepted.
	Ref snapshot.Ref
	// Repeated is set when the change had already been accepted by an earlier
	// send.
	Repeated bool
}

// Action implements core.Action.
func (ReadHead) Action() {}

// Action implements core.Action.
func (ReadRecord) Action() {}

// Action implements core.Action.
func (LoadBase) Action() {}

// Action implements core.Action.
func (PutObject) Action() {}

// Action implements core.Action.
func (WriteHead) Action() {}

// Action implements core.Action.
func (Wait) Action() {}

// Action implements core.Action.
func (Finish) Action() {}
