package message

import "github.com/jacinthgate/jacinthgate/state/model"

// Document carries a full configuration as stored in the platform's store.
type Document struct {
	// Version is the configuration's version.
	Version uint64 `cbor:"1,keyasint"`
	// Body is the encoded configuration.
	Body []byte `cbor:"2,keyasint"`
}

// DocumentAdvert advertises the version of the configuration that the sender has
// applied.
type DocumentAdvert struct {
	// Version is 0 if the sender has applied none.
	Version uint64 `cbor:"1,keyasint"`
}

// DocumentFetch requests from a peer a configuration newer than Have.
type DocumentFetch struct {
	Have uint64 `cbor:"1,keyasint"`
}

// ReaderBeacon is flooded within an availability zone by the node that reads
// the platform's store on the zone's behalf, as long as its reads succeed.
type ReaderBeacon struct {
	Reader model.NodeID `cbor:"1,keyasint"`
	// Incarnation is the reader's incarnation; a later one supersedes an earlier one.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence increases with each beacon of an incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// Epoch is the store's epoch in the reader's last read; 0 if the store doesn't report it.
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
	// Version is the version that the reader holds; 0 if it holds none or doesn't report it.
	Version uint64 `cbor:"5,keyasint,omitempty"`
}
