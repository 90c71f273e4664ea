package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Prefix starts the key of every record in the table service.
const Prefix = "claim/"

// Limits on a response that is kept for replay.
const (
	// MaxBody is the largest body kept, in bytes.
	MaxBody = 16 << 10
	// MaxHeader is the largest sum of header names and values kept, in bytes.
	MaxHeader = 4 << 10
)

// State is the state of a record.
type State string

// The states of a record.
const (
	// StateClaimed means that the attempt may have been sent.
	StateClaimed State = "claimed"
	// StateDone means that the backend server responded to the attempt. This
	// state is final.
	StateDone State = "done"
	// StateReleased means that the attempt certainly did not run. The next
	// attempt may replace the record.
	StateReleased State = "released"
)

// Record is the content of one item in the table service: the state of one
// Idempotency-Key.
type Record struct {
	// State is the record's state.
	State State `cbor:"1,keyasint"`
	// Attempt is a unique identifier of one request at one entry proxy.
	Attempt string `cbor:"2,keyasint"`
	// Node is the entry proxy that owns the attempt. It is information for
	// the operator.
	Node model.NodeID `cbor:"3,keyasint"`
	// Incarnation is the owner's incarnation. It is information for the
	// operator.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Fingerprint identifies the request, so that the key can't be reused for
	// another one.
	Fingerprint Fingerprint `cbor:"5,keyasint"`
	// Started is when the attempt began, in milliseconds since 1970.
	Started int64 `cbor:"6,keyasint"`
	// Answer is the backend server's response; nil unless State is StateDone.
	Answer *Answer `cbor:"7,keyasint,omitempty"`
}

// Fingerprint identifies the content of a request.
type Fingerprint struct {
	// Method is the HTTP method.
	Method string `cbor:"1,keyasint"`
	// Target is the request path with its query.
	Target string `cbor:"2,keyasint"`
	// BodyHash is the SHA-256 of the body; empty when the body was too large
	// to be hashed before sending.
	BodyHash []byte `cbor:"3,keyasint,omitempty"`
}

// Same reports whether f and o may identify the same request. A body that was
// not hashed matches every body.
func (f Fingerprint) Same(o Fingerprint) bool {
	if f.Method != o.Method || f.Target != o.Target {
		return false
	}
	if len(f.BodyHash) == 0 || len(o.BodyHash) == 0 {
		return true
	}
	return string(f.BodyHash) == string(o.BodyHash)
}

// Field is one header field.
type Field struct {
	// Name is the canonical header name.
	Name string `cbor:"1,keyasint"`
	// Value is the header value.
	Value string `cbor:"2,keyasint"`
}

// Answer is a backend server's complete response, as it is kept for replay.
type Answer struct {
	// Status is the HTTP status.
	Status int `cbor:"1,keyasint"`
	// Header holds the header fields in order.
	Header []Field `cbor:"2,keyasint,omitempty"`
	// Body is the whole body.
	Body []byte `cbor:"3,keyasint,omitempty"`
	// NotKept is set when the response was too large to be kept: Header and
	// Body are empty, and it can't be replayed.
	NotKept bool `cbor:"4,keyasint,omitempty"`
}

// Trim returns the response as it is kept: unchanged, or only the status and
// NotKept if it exceeds MaxBody or MaxHeader.
func (a Answer) Trim() Answer {
	size := 0
	for _, f := range a.Header {
		size += len(f.Name) + len(f.Value)
	}
	if a.NotKept || len(a.Body) > MaxBody || size > MaxHeader {
		return Answer{Status: a.Status, NotKept: true}
	}
	return a
}

// ItemKey returns the table key of the record for an organisation's
// Idempotency-Key, which it hashes.
func ItemKey(organisation, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + organisation + "/" + hex.EncodeToString(sum[:])
}

// Encode returns the record as the value of an item.
func (r Record) Encode() ([]byte, error) { return cbor.Marshal(r) }

// Decode decodes the value of an item. Its error is a *DecodeError.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return Record{}, &DecodeError{Err: err}
	}
	return r, nil
}

// Expired reports whether the record is older than maxAge.
func (r Record) Expired(now time.Time, maxAge time.Duration) bool {
	return now.Sub(time.UnixMilli(r.Started)) > maxAge
}

// DecodeError reports that an item's value is no valid record.
type DecodeError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string { return "decode claim: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }
