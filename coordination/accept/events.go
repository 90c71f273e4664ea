package accept

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Result says what became of a call of the platform.
type Result uint8

// The results.
const (
	// Done means that the call succeeded.
	Done Result = iota
	// Failed means that the call certainly had no effect.
	Failed
	// Unknown means that the call may have had its effect, or may still have
	// it.
	Unknown
	// ConditionFailed means that the transaction was refused whole because
	// an item did not have the required revision.
	ConditionFailed
)

// Start begins the change.
type Start struct{}

// Cancel ends the change early.
type Cancel struct {
	// Err is why.
	Err error
}

// HeadRead answers ReadHead.
type HeadRead struct {
	// Result is Done or Failed.
	Result Result
	// Err is the failure.
	Err error
	// Head is the head; the zero Head with Revision 0 when there is none.
	Head Head
	// Revision is the head item's revision.
	Revision uint64
}

// RecordRead answers ReadRecord.
type RecordRead struct {
	// Result is Done or Failed.
	Result Result
	// Err is the failure.
	Err error
	// Record is the change's record; nil when there is none.
	Record *Record
}

// BaseLoaded answers LoadBase.
type BaseLoaded struct {
	// Err is the failure; nil when Snapshot is set.
	Err error
	// Snapshot is the version asked for.
	Snapshot *snapshot.Snapshot
}

// ObjectPut answers PutObject.
type ObjectPut struct {
	// Result is Done, Failed or Unknown.
	Result Result
	// Err is the failure.
	Err error
}

// HeadWritten answers WriteHead.
type HeadWritten struct {
	// Result is any Result.
	Result Result
	// Err is the failure.
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

// ReadHead asks for a consistent read of HeadKey.
type ReadHead struct{}

// ReadRecord asks for a consistent read of the change's record. It is sent only
// after the answer to ReadHead, so that the record is at least as new as the
// head.
type ReadRecord struct {
	// ChangeID is the change.
	ChangeID string
}

// LoadBase asks for the version that the head names.
type LoadBase struct {
	// Held is a version already held; it may be the empty one.
	Held *snapshot.Snapshot
	// Head names the version.
	Head Head
}

// PutObject asks for an object to be stored.
type PutObject struct {
	// Key and Body are the object.
	Key  string
	Body []byte
}

// WriteHead asks for one transaction that writes the head item and creates the
// change's record, on condition that the head item has revision HeadRevision
// and that the record does not exist. Without a Record it writes the head only.
type WriteHead struct {
	// HeadRevision is the revision that the head item must have; 0 means that
	// it must not exist.
	HeadRevision uint64
	// Head is the head item's new value.
	Head []byte
	// RecordKey and Record are the change's record; empty for none.
	RecordKey string
	Record    []byte
}

// Wait asks for a core.Tick at the given time or later.
type Wait struct {
	// Until is the time.
	Until time.Time
}

// Finish ends the change.
type Finish struct {
	// Accepted is set when Err is nil.
	Accepted Accepted
	// Err is a *ConflictError, *InvalidError, *ChangeIDError, *RefusedError
	// or *UnknownOutcomeError.
	Err error
}

// Accepted says that a change is accepted.
type Accepted struct {
	// Ref is the version that accepted the change.
	Ref snapshot.Ref
	// Repeated says that the change had been accepted before.
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
