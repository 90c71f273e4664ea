package message

// Freshness propagates a proof that a version of the configuration was the newest at some
// moment. It neither compares the clocks of hosts nor assumes a bound on how long a
// message is in transit: the moment is given relative to a stamp of the receiver's own
// clock, which the sender echoes.
type Freshness struct {
	// Version is the version that the proof is for; 0 in a message without a proof.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// Stamp is the reading of the sender's clock, in milliseconds from a base that differs
	// with each start of the node. The receiver returns it as Echo.
	Stamp uint64 `cbor:"2,keyasint,omitempty"`
	// Echo is the newest stamp that the sender has received from the receiver; 0 for none.
	Echo uint64 `cbor:"3,keyasint,omitempty"`
	// Offset is the proof's moment minus the time at which the sender received Echo, by
	// the sender's clock, in milliseconds; it is negative if the moment was before that.
	Offset int64 `cbor:"4,keyasint,omitempty"`
	// Epoch is the highest epoch of the store that the sender has seen; 0 for none. It
	// increases when the store is restored from an older copy.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*Freshness) Kind() Kind { return KindFreshness }
