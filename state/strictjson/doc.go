// Package strictjson decodes JSON documents that people write by hand. It
// refuses whatever encoding/json would let pass in silence: unknown fields,
// fields in another case, duplicate keys, missing fields, null and trailing
// data. It reports all faults of a document at once, each with its path.
package strictjson

// Limits on a document. They bound the memory that decoding takes.
const (
	// MaxSize is the largest document in bytes.
	MaxSize = 1 << 20
	// MaxNesting is the largest depth of arrays and objects.
	MaxNesting = 16
	// MaxElements is the largest number of elements of one array or object.
	MaxElements = 4096
	// MaxValues is the largest number of values in all: a parsed value takes
	// far more memory than the two bytes it may have in the text.
	MaxValues = 100_000
	// MaxFaults is the largest number of faults reported for one document.
	MaxFaults = 100
)
