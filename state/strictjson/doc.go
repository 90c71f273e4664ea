// Package strictjson decodes JSON documents that people write by hand. Unlike
// encoding/json it rejects unknown fields, fields that differ in case,
// duplicate keys, missing fields, null and trailing data. It reports all faults
// of a document at once, each with its path.
package strictjson

// Limits on a document, which bound the memory used for decoding.
const (
	// MaxSize is the largest document in bytes.
	MaxSize = 1 << 20
	// MaxNesting is the largest nesting depth of arrays and objects.
	MaxNesting = 16
	// MaxElements is the largest number of elements of one array or object.
	MaxElements = 4096
	// MaxValues is the largest number of values of one document. MaxSize does
	// not bound memory well enough: a value of two bytes of text takes far
	// more memory once parsed.
	MaxValues = 100_000
	// MaxFaults is the largest number of faults reported for one document.
	MaxFaults = 100
)
