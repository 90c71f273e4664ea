package message

import "github.com/jacinthgate/jacinthgate/state/model"

// Document carries a whole configuration as the platform's store holds it.
type Document struct {
	// Version is the configuration's version.
	Version uint64 `cbor:"1,keyasint"`
	// Body is the encoded configuration.
	Body []byte `cbor:"2,keyasint"`
}

// DocumentAdvert tells a peer which configuration the sender serves with; 0 is
// none.
type DocumentAdvert struct {
	Version uint64 `cbor:"1,keyasint"`
}

// DocumentFetch asks a peer for a configuration newer than Have.
type DocumentFetch struct {
	Have uint64 `cbor:"1,keyasint"`
}

// ReaderBeacon is flooded within an availability zone by the node that reads
// the platform's store for it, while its reads succeed.
type ReaderBeacon struct {
	Reader model.NodeID `cbor:"1,keyasint"`
	// Incarnation is the reader's; a later one replaces an earlier one.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence rises with each beacon of an incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// Epoch is the store's epoch in the reader's last read; 0 if the store doesn't report it.
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
}
