package message

// Freshness passes on a proof that a version of the configuration was the newest at some
// moment. Clocks of hosts are not compared and nothing is assumed of how long a message
// is under way: the moment is told by a stamp that the receiver has made itself.
type Freshness struct {
	// Version is the version that the proof is about; 0 in a message without one.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// Stamp is the sender's own clock, in milliseconds from a base that differs with each
	// start. The receiver sends it back as Echo.
	Stamp uint64 `cbor:"2,keyasint,omitempty"`
	// Echo is the newest stamp that the sender has got from the receiver; 0 for none.
	Echo uint64 `cbor:"3,keyasint,omitempty"`
	// Offset is how much later than the arrival of Echo the proof's moment was, by the
	// sender's clock, in milliseconds; it is negative where the proof is older.
	Offset int64 `cbor:"4,keyasint,omitempty"`
	// Epoch is the highest epoch of the store that the sender has seen; 0 for none. It
	// increases when the store is restored from an older copy.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*Freshness) Kind() Kind { return KindFreshness }
