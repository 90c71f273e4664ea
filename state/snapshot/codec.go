package snapshot

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// MaxDecoded is the largest decompressed snapshot or delta in bytes; larger
// input is refused.
const MaxDecoded = 64 << 20

// Limits of the CBOR decoder against hostile input.
const (
	maxElements = 64 << 10 // contracts, services or deletions of one body
	maxNesting  = 16
)

// null is CBOR's null, which no body holds: encMode writes a nil slice as an
// empty one, and an entry always has its document.
const null cbor.SimpleValue = 22

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{NilContainers: cbor.NilContainerAsEmpty}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

func mustDecMode() cbor.DecMode {
	values, err := cbor.NewSimpleValueRegistryFromDefaults(cbor.WithRejectedSimpleValue(null))
	if err != nil {
		panic(err) // the value is a constant
	}
	m, err := cbor.DecOptions{
		SimpleValues:     values,
		NaN:              cbor.NaNDecodeForbidden,
		Inf:              cbor.InfDecodeForbidden,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

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

// body is the encoded form of a whole snapshot.
type body struct {
	Ref       Ref                       `cbor:"1,keyasint"`
	Contracts map[string]*ContractEntry `cbor:"2,keyasint"`
	Services  map[string]*ServiceEntry  `cbor:"3,keyasint"`
}

// Encode returns the snapshot as compressed CBOR. It returns a *SizeError for
// a snapshot that Decode would refuse.
func (s *Snapshot) Encode() ([]byte, error) {
	return encode(&body{Ref: s.ref, Contracts: s.contracts, Services: s.services})
}

// Decode returns the whole snapshot in b. It returns a *CodecError, a
// *HashError or one of Consistent's errors, and never a part of a snapshot.
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
	if err := s.Consistent(); err != nil {
		return nil, err
	}
	return s, nil
}

// Encode returns the delta as compressed CBOR. It returns a *SizeError for a
// delta that DecodeDelta would refuse.
func (d *Delta) Encode() ([]byte, error) { return encode(d) }

// DecodeDelta returns the delta in b, or a *CodecError. Apply checks it.
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
