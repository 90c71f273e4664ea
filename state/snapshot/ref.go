package snapshot

import "encoding/hex"

// HashSize is the size of a Hash in bytes.
const HashSize = 32

// Hash is the SHA-256 hash of a snapshot's version and entries.
type Hash [HashSize]byte

// String returns the first 8 bytes in hexadecimal, which suffices to identify a
// version in logs.
func (h Hash) String() string { return hex.EncodeToString(h[:8]) }

// Ref identifies one version of the configuration and its content. The zero Ref
// means that no version is held.
type Ref struct {
	// Version increases strictly with each accepted change; 0 means none.
	Version uint64 `json:"version" cbor:"1,keyasint"`
	// Hash is the hash of the version's content.
	Hash Hash `json:"hash" cbor:"2,keyasint"`
}

// Newer reports whether r is a later version than o.
func (r Ref) Newer(o Ref) bool { return r.Version > o.Version }
