package message

import "github.com/jacinthgate/jacinthgate/state/rollout"

// Rollouts carries the states of roll-outs, and reports with the request counts of the
// backend servers that take part in them.
type Rollouts struct {
	Entries []rollout.Entry  `cbor:"1,keyasint,omitempty"`
	Reports []rollout.Report `cbor:"2,keyasint,omitempty"`
}

// RolloutsDigest is sent periodically to a peer for anti-entropy: the hash of the entries
// that the sender holds. A peer whose entries differ responds with all of its own.
type RolloutsDigest struct {
	Hash uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Rollouts) Kind() Kind { return KindRollouts }

// Kind implements Message.
func (*RolloutsDigest) Kind() Kind { return KindRolloutsDigest }
