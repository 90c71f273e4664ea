// Package codec configures the strict CBOR encoding of snapshots and messages.
// The decoder rejects whatever this project's encoder never writes, so that
// callers need not check a decoded value for null, NaN, infinity or duplicate
// keys.
package codec

import "github.com/fxamacker/cbor/v2"

// null is CBOR's null, which the decoder rejects: the encoder writes a nil
// slice or map as an empty one.
const null cbor.SimpleValue = 22

// Limits bound the size and depth of the values that a decoder accepts, as a
// protection against hostile input.
type Limits struct {
	// Elements is the largest number of elements of one array, or of pairs of one
	// map.
	Elements int
	// Nesting is the largest nesting depth of arrays and maps.
	Nesting int
}

// NewEncoder returns the encoding mode, which writes floating-point numbers in
// the width of their Go type.
func NewEncoder() cbor.EncMode {
	m, err := cbor.EncOptions{NilContainers: cbor.NilContainerAsEmpty}.EncMode()
	if err != nil {
		panic(err) // the options are constants, and tests cover them
	}
	return m
}

// NewShortEncoder returns an encoding mode that writes each floating-point
// number in the shortest form that keeps its value.
func NewShortEncoder() cbor.EncMode {
	o := cbor.EncOptions{NilContainers: cbor.NilContainerAsEmpty, ShortestFloat: cbor.ShortestFloat16}
	m, err := o.EncMode()
	if err != nil {
		panic(err) // the options are constants, and tests cover them
	}
	return m
}

// NewDecoder returns a decoding mode with the given limits, which must be
// constants of the program.
func NewDecoder(l Limits) cbor.DecMode { return newDecoder(l, cbor.UTF8RejectInvalid) }

// NewTextTolerantDecoder returns a decoding mode that differs from NewDecoder in one respect: it
// accepts texts that are not UTF-8.
func NewTextTolerantDecoder(l Limits) cbor.DecMode { return newDecoder(l, cbor.UTF8DecodeInvalid) }

func newDecoder(l Limits, texts cbor.UTF8Mode) cbor.DecMode {
	values, err := cbor.NewSimpleValueRegistryFromDefaults(cbor.WithRejectedSimpleValue(null))
	if err != nil {
		panic(err) // the value is a constant
	}
	m, err := cbor.DecOptions{
		SimpleValues:     values,
		UTF8:             texts,
		NaN:              cbor.NaNDecodeForbidden,
		Inf:              cbor.InfDecodeForbidden,
		MaxArrayElements: l.Elements,
		MaxMapPairs:      l.Elements,
		MaxNestedLevels:  l.Nesting,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the limits are constants, and tests cover them
	}
	return m
}
