package snapshot

import "fmt"

// NilEntryError reports an entry without a document.
type NilEntryError struct {
	// Name is the entry's name.
	Name string
}

// Error implements error.
func (e *NilEntryError) Error() string { return "entry " + e.Name + " has no document" }

// BaseError reports a delta whose base is not the held snapshot.
type BaseError struct {
	// Held is the reference of the held snapshot.
	Held Ref
	// From is the reference of the delta's base.
	From Ref
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("delta has base version %d (%s), but the held version is %d (%s)",
		e.From.Version, e.From.Hash, e.Held.Version, e.Held.Hash)
}

// HashError reports content that does not have the expected hash.
type HashError struct {
	// Want is the expected reference.
	Want Ref
	// Got is the reference with the hash of the content.
	Got Ref
}

// Error implements error.
func (e *HashError) Error() string {
	return fmt.Sprintf("content of version %d has hash %s, want %s", e.Want.Version, e.Got.Hash, e.Want.Hash)
}

// VersionError reports a version that is not newer than the held one.
type VersionError struct {
	// Held is the held version.
	Held uint64
	// Offered is the rejected version.
	Offered uint64
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d is not newer than %d", e.Offered, e.Held)
}

// ReferenceError reports a route that refers to a service or class that does not
// exist.
type ReferenceError struct {
	// Organisation and Route are the names of the contract and its route.
	Organisation, Route string
	// Kind is "service" or "class".
	Kind string
	// Name is the name of the missing service or class.
	Name string
}

// Error implements error.
func (e *ReferenceError) Error() string {
	return fmt.Sprintf("contract %s, route %s: %s %q is not held", e.Organisation, e.Route, e.Kind, e.Name)
}

// HostError reports an HTTP host that two contracts claim.
type HostError struct {
	// Host is the normalised HTTP host.
	Host string
	// First and Second are the organisations of the contracts, in order of name.
	First, Second string
}

// Error implements error.
func (e *HostError) Error() string {
	return fmt.Sprintf("host %s is claimed by %s and %s", e.Host, e.First, e.Second)
}

// NameError reports an entry whose key differs from its document's name.
type NameError struct {
	// Key is the entry's key.
	Key string
	// Name is the document's own name.
	Name string
}

// Error implements error.
func (e *NameError) Error() string { return fmt.Sprintf("entry %s holds document %q", e.Key, e.Name) }

// CodecError reports bytes that can't be decoded as a snapshot or delta.
type CodecError struct {
	// What is "snapshot" or "delta".
	What string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *CodecError) Error() string { return e.What + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CodecError) Unwrap() error { return e.Err }

// SizeError reports a snapshot or delta that is larger than MaxDecoded.
type SizeError struct {
	// Size is the uncompressed size in bytes.
	Size int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("uncompressed size is %d bytes, the maximum is %d", e.Size, MaxDecoded)
}

// DocumentError reports an invalid contract or service.
type DocumentError struct {
	// Kind is "contract" or "service".
	Kind string
	// Name is the document's name.
	Name string
	// Err holds the faults.
	Err error
}

// Error implements error.
func (e *DocumentError) Error() string { return e.Kind + " " + e.Name + ": " + e.Err.Error() }

// Unwrap returns the faults.
func (e *DocumentError) Unwrap() error { return e.Err }
