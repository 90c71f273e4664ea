package message

import "github.com/jacinthgate/jacinthgate/state/suspect"

// Suspects carries evidence against requests that were in flight when backend servers
// crashed.
type Suspects struct {
	Entries []suspect.Entry `cbor:"1,keyasint"`
}

// SuspectsDigest is sent periodically to a peer for anti-entropy: the hash of the evidence
// that the sender holds. A peer whose evidence differs responds with all of its own.
type SuspectsDigest struct {
	Hash uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Suspects) Kind() Kind { return KindSuspects }

// Kind implements Message.
func (*SuspectsDigest) Kind() Kind { return KindSuspectsDigest }
