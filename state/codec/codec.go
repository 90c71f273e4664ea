// Package codec makes the strict CBOR encoding that snapshots and messages
// share: it refuses whatever this project's encoder does not write, so that a
// decoded value needs no check for null, infinity or duplicate keys.
package codec

import "github.com/fxamacker/cbor/v2"

// null is CBOR's null. The encoder writes a nil slice as an empty one.
const null cbor.SimpleValue = 22

// Limits bound what a decoder takes, against hostile input.
type Limits struct {
	// Elements is the largest number of elements of one array or map.
	Elements int
	// Nesting is the largest depth of arrays and maps.
	Nesting int
}

// NewEncoder returns the encoding mode.
func NewEncoder() cbor.EncMode {
	m, err := cbor.EncOptions{NilContainers: cbor.NilContainerAsEmpty}.EncMode()
	if err != nil {
		panic(err) // the options are constants; tests encode with them
	}
	return m
}

// NewShortEncoder returns an encoding mode that writes each floating-point
// number in the shortest form that keeps its value.
func NewShortEncoder() cbor.EncMode {
	o := cbor.EncOptions{NilContainers: cbor.NilContainerAsEmpty, ShortestFloat: cbor.ShortestFloat16}
	m, err := o.EncMode()
	if err != nil {
		panic(err) // the options are constants; tests encode with them
	}
	return m
}

// NewDecoder returns a decoding mode with the given limits, which must be
// constants of the program.
func NewDecoder(l Limits) cbor.DecMode {
	values, err := cbor.NewSimpleValueRegistryFromDefaults(cbor.WithRejectedSimpleValue(null))
	if err != nil {
		panic(err) // the value is a constant
	}
	m, err := cbor.DecOptions{
		SimpleValues:     values,
		NaN:              cbor.NaNDecodeForbidden,
		Inf:              cbor.InfDecodeForbidden,
		MaxArrayElements: l.Elements,
		MaxMapPairs:      l.Elements,
		MaxNestedLevels:  l.Nesting,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the limits are constants; tests decode with them
	}
	return m
}
