package message

import "github.com/jacinthgate/jacinthgate/state/suspect"

// Suspects carries evidence against requests under which backend servers have ended.
type Suspects struct {
	Entries []suspect.Entry `cbor:"1,keyasint"`
}

// SuspectsDigest is sent now and then to a peer: the hash of the evidence that the
// sender holds. A peer that holds other evidence answers with all of its own.
type SuspectsDigest struct {
	Hash uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Suspects) Kind() Kind { return KindSuspects }

// Kind implements Message.
func (*SuspectsDigest) Kind() Kind { return KindSuspectsDigest }
