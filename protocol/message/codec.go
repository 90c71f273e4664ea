package message

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/state/codec"
)

// MaxSize is the largest encoded message in bytes. Decode rejects a
// larger one before decoding it.
const MaxSize = 256 << 10

// limits bound the number of elements and the nesting depth of a decoded message.
var limits = codec.Limits{Elements: 16 << 10, Nesting: 8}

// SizeError reports a message that is larger than MaxSize, or empty.
type SizeError struct {
	// Size is the message's size in bytes.
	Size int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes: want 1 to %d", e.Size, MaxSize)
}

// KindError reports a message of a kind that this version of the protocol
// does not define.
type KindError struct {
	// Kind is the unknown kind.
	Kind Kind
}

// Error implements error.
func (e *KindError) Error() string { return fmt.Sprintf("message kind %d is not known", e.Kind) }

// DecodeError reports a message whose body can't be decoded.
type DecodeError struct {
	// Kind is the message's kind.
	Kind Kind
	// Err is a *ValueError if the message holds a text that is not UTF-8, and otherwise the codec's
	// error.
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("message kind %d can't be decoded: %v", e.Kind, e.Err)
}

// Unwrap returns Err.
func (e *DecodeError) Unwrap() error { return e.Err }

var (
	encMode = codec.NewShortEncoder()
	decMode = codec.NewDecoder(limits)
	// tolerantMode decodes a refused message, to find the texts that are not UTF-8.
	tolerantMode = codec.NewTextTolerantDecoder(limits)
)

// Encode returns m's kind in one byte, followed by its CBOR body. Decode accepts
// every result: Encode returns a *SizeError when it is larger than MaxSize, and a
// *ValueError when m holds a value that Decode refuses.
func Encode(m Message) ([]byte, error) {
	if err := checkValues(m); err != nil {
		return nil, errors.Wrapf(err, "encode message kind %d", m.Kind())
	}
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, errors.Wrapf(err, "encode message kind %d", m.Kind())
	}
	if len(body)+1 > MaxSize {
		return nil, &SizeError{Size: len(body) + 1}
	}
	b := make([]byte, 0, len(body)+1)
	b = append(b, byte(m.Kind()))
	return append(b, body...), nil
}

// Decode decodes one message. It returns a *SizeError, *KindError or
// *DecodeError and never panics, whatever the input.
func Decode(b []byte) (Message, error) {
	if len(b) == 0 || len(b) > MaxSize {
		return nil, &SizeError{Size: len(b)}
	}
	m := newOf(Kind(b[0]))
	if m == nil {
		return nil, &KindError{Kind: Kind(b[0])}
	}
	if err := decMode.Unmarshal(b[1:], m); err != nil {
		return nil, &DecodeError{Kind: Kind(b[0]), Err: explain(b, err)}
	}
	return m, nil
}

// explain returns the *ValueError for a refused message that holds a text that is not UTF-8, and err
// for any other.
func explain(b []byte, err error) error {
	m := newOf(Kind(b[0]))
	if tolerantMode.Unmarshal(b[1:], m) != nil {
		return err
	}
	if found := checkValues(m); found != nil {
		return found
	}
	return err
}
