package sidecar

import (
	"github.com/klauspost/compress/s2"
	"github.com/pkg/errors"
)

// maxDocument bounds a configuration, in bytes, against hostile input. The
// store's rows are at most 64 KiB.
const maxDocument = 1 << 20

// SizeError reports a configuration that is too large.
type SizeError struct {
	// Size is its size in bytes.
	Size int
}

// Error implements error.
func (e *SizeError) Error() string { return "configuration is too large" }

// pack compresses a configuration for the way between nodes. Only the node that
// has read it from the store does so; the others pass on what they got.
func pack(body []byte) []byte { return s2.EncodeBetter(nil, body) }

// unpack undoes pack. The error is a *SizeError or the codec's.
func unpack(packed []byte) ([]byte, error) {
	n, err := s2.DecodedLen(packed)
	if err != nil {
		return nil, errors.Wrap(err, "unpack configuration")
	}
	if n > maxDocument {
		return nil, &SizeError{Size: n}
	}
	body, err := s2.Decode(nil, packed)
	return body, errors.Wrap(err, "unpack configuration")
}
