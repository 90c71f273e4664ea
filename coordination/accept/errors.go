package accept

import (
	"fmt"
	"time"

	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// ConflictError reports that a document was changed after the operator read it.
// The rejected change had no effect.
type ConflictError struct {
	// Document is the first document in conflict.
	Document DocumentKey
	// Base is the revision that the change is based on.
	Base uint64
	// Current is the document's current revision; 0 when it does not exist.
	Current uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s has revision %d, the change is based on %d", e.Document, e.Current, e.Base)
}

// InvalidError reports a change that can't become a version: its id or a document
// breaks a rule, alone or together with the documents in force, or the version can't
// be encoded within the size limits. The change had no effect.
type InvalidError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *InvalidError) Error() string { return "invalid change: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Err }

// ChangeIDError reports that another change, with other content, was accepted under
// the same id. The rejected change had no effect.
type ChangeIDError struct {
	// ID is the change id.
	ID string
	// Version is the version in which the other change was accepted.
	Version uint64
}

// Error implements error.
func (e *ChangeIDError) Error() string {
	return fmt.Sprintf("change id %s was used for other documents in version %d", e.ID, e.Version)
}

// RefusedError reports a change that was certainly not accepted.
type RefusedError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *RefusedError) Error() string { return "change not accepted: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports a change that may have been accepted or may still
// be. Sending the same change again with the same id determines the outcome.
type UnknownOutcomeError struct {
	// ID is the change id.
	ID string
	// Err is why the outcome could not be determined.
	Err error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "change " + e.ID + " may have been accepted; send it again with the same id to determine the outcome: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// ChangeIDFormatError reports a change id that is not of the required form.
type ChangeIDFormatError struct {
	// ID is the change id.
	ID string
}

// Error implements error.
func (e *ChangeIDFormatError) Error() string {
	return fmt.Sprintf("change id %q: want 1 to 64 letters, digits, dots, hyphens or underscores", e.ID)
}

// MissingDocumentError reports the deletion of a document that does not exist.
type MissingDocumentError struct {
	// Document is the document.
	Document DocumentKey
}

// Error implements error.
func (e *MissingDocumentError) Error() string { return e.Document + " does not exist" }

// SizeError reports a version or delta that is too large.
type SizeError struct {
	// What names the encoded object: "version" or "delta".
	What string
	// Size and Limit are in bytes.
	Size, Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s has %d bytes encoded, the limit is %d", e.What, e.Size, e.Limit)
}

// ContentionError reports that the transaction of a change failed Config.MaxConflicts
// times because other changes had moved the head.
type ContentionError struct {
	// Conflicts is the number of transactions that failed.
	Conflicts int
}

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("other changes moved the head first %d times", e.Conflicts)
}

// TimeoutError reports that a change's deadline passed without an outcome.
type TimeoutError struct {
	// After is the time that the change was given, Config.Deadline.
	After time.Duration
	// Err is the last error before the deadline; nil when there was none.
	Err error
}

// Error implements error.
func (e *TimeoutError) Error() string {
	if e.Err == nil {
		return "no outcome after " + e.After.String()
	}
	return "no outcome after " + e.After.String() + ": " + e.Err.Error()
}

// Unwrap returns the last error.
func (e *TimeoutError) Unwrap() error { return e.Err }

// RevertedError reports a head that names an older version than one accepted
// before, or a different one with the same number: the table service has lost writes. No
// change may be accepted on top of such a head.
type RevertedError struct {
	// Held is the newest version that the accepter holds.
	Held snapshot.Ref
	// Head is the version that the head names.
	Head snapshot.Ref
}

// Error implements error.
func (e *RevertedError) Error() string {
	return fmt.Sprintf("head names version %d, but %d was accepted before", e.Head.Version, e.Held.Version)
}

// DecodeError reports an item of the table service that can't be decoded.
type DecodeError struct {
	// Key is the item's key.
	Key string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string { return "item " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }
