package accept

import (
	"fmt"
	"time"

	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// ConflictError reports that a document was changed since the operator read
// it. Nothing was changed by this change.
type ConflictError struct {
	// Document is the first document in conflict.
	Document DocumentKey
	// Base is the revision that the change is based on.
	Base uint64
	// Current is the document's revision; 0 when it does not exist.
	Current uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s has revision %d, the change is based on %d", e.Document, e.Current, e.Base)
}

// InvalidError reports documents that break a rule, alone or together with the
// documents in force. Nothing was changed.
type InvalidError struct {
	// Err says which rule.
	Err error
}

// Error implements error.
func (e *InvalidError) Error() string { return "invalid change: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Err }

// ChangeIDError reports a change whose id was accepted with other content.
// Nothing was changed by this change.
type ChangeIDError struct {
	// ID is the change id.
	ID string
	// Version is the version that accepted it with other content.
	Version uint64
}

// Error implements error.
func (e *ChangeIDError) Error() string {
	return fmt.Sprintf("change id %s was used for other documents in version %d", e.ID, e.Version)
}

// RefusedError reports a change that was certainly not taken.
type RefusedError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *RefusedError) Error() string { return "change not taken: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports a change that may have been taken, or may still
// be. Sending the same change with the same id again settles it.
type UnknownOutcomeError struct {
	// ID is the change id.
	ID string
	// Err is why it could not be settled.
	Err error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "change " + e.ID + " may have been taken, send it again with the same id to settle it: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// ChangeIDFormatError reports a change id that can't be used.
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
	// What is "version" or "delta".
	What string
	// Size and Limit are in bytes.
	Size, Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s has %d bytes encoded, the limit is %d", e.What, e.Size, e.Limit)
}

// ContentionError reports that others kept moving the head.
type ContentionError struct {
	// Conflicts is the number of lost races.
	Conflicts int
}

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("other changes came first %d times", e.Conflicts)
}

// TimeoutError reports that the deadline of a change passed.
type TimeoutError struct {
	// After is the time given.
	After time.Duration
	// Err is the last failure; nil when there was none.
	Err error
}

// Error implements error.
func (e *TimeoutError) Error() string {
	if e.Err == nil {
		return "no outcome after " + e.After.String()
	}
	return "no outcome after " + e.After.String() + ": " + e.Err.Error()
}

// Unwrap returns the last failure.
func (e *TimeoutError) Unwrap() error { return e.Err }

// RevertedError reports a head that is older than a version already held: the
// table service has lost writes. Nothing may be accepted on top of it.
type RevertedError struct {
	// Held is the version held.
	Held snapshot.Ref
	// Head is the version that the head names.
	Head snapshot.Ref
}

// Error implements error.
func (e *RevertedError) Error() string {
	return fmt.Sprintf("head names version %d, but %d was accepted before", e.Head.Version, e.Held.Version)
}

// DecodeError reports an item that can't be decoded.
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
