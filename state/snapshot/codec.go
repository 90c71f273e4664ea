package snapshot

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/state/codec"
)

// MaxDecoded is the maximum size in bytes of a decompressed snapshot or delta.
// Larger input is rejected.
const MaxDecoded = 64 << 20

// limits are the limits on a decoded snapshot or delta. Elements limits the
// number of contracts, of services and of deletions.
var limits = codec.Limits{Elements: 64 << 10, Nesting: 16}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
	encMode = codec.NewEncoder()
	decMode = codec.NewDecoder(limits)
)

func mustEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(err) // the options are constants
	}
	return e
}

func mustDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(MaxDecoded), zstd.WithDecoderConcurrency(1))
	if err != nil {
		panic(err) // the options are constants
	}
	return d
}

// body is the encoded form of a full snapshot.
type body struct {
	Ref       Ref                       `cbor:"1,keyasint"`
	Contracts map[string]*ContractEntry `cbor:"2,keyasint"`
	Services  map[string]*ServiceEntry  `cbor:"3,keyasint"`
}

// Encode returns the snapshot as compressed CBOR. It returns a *SizeError for
// a snapshot that is too large for Decode.
func (s *Snapshot) Encode() ([]byte, error) {
	return encode(&body{Ref: s.ref, Contracts: s.contracts, Services: s.services})
}

// Decode returns the full snapshot encoded in b. Otherwise it returns no snapshot
// and a *CodecError, a *NilEntryError, a *HashError or one of CheckConsistency's errors.
func Decode(b []byte) (*Snapshot, error) {
	var v body
	if err := decode("snapshot", b, &v); err != nil {
		return nil, err
	}
	s, err := Build(v.Ref.Version, v.Contracts, v.Services)
	if err != nil {
		return nil, err
	}
	if s.ref != v.Ref {
		return nil, &HashError{Want: v.Ref, Got: s.ref}
	}
	if err := s.CheckConsistency(); err != nil {
		return nil, err
	}
	return s, nil
}

// Encode returns the delta as compressed CBOR. It returns a *SizeError for a
// delta that is too large for DecodeDelta.
func (d *Delta) Encode() ([]byte, error) { return encode(d) }

// DecodeDelta returns the delta encoded in b, or a *CodecError. It doesn't check
// the content of the delta; Apply does.
func DecodeDelta(b []byte) (*Delta, error) {
	d := new(Delta)
	if err := decode("delta", b, d); err != nil {
		return nil, err
	}
	return d, nil
}

func encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	if len(b) > MaxDecoded {
		return nil, &SizeError{Size: len(b)}
	}
	return encoder.EncodeAll(b, nil), nil
}

func decode(what string, b []byte, v any) error {
	raw, err := decoder.DecodeAll(b, nil)
	if err != nil {
		return &CodecError{What: what, Err: err}
	}
	if err := decMode.Unmarshal(raw, v); err != nil {
		return &CodecError{What: what, Err: err}
	}
	return nil
}
