package quota

import (
	"io"
	"math"
	"time"

	"github.com/jacinthgate/jacinthgate/state/codec"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Kind is the type of a Message.
type Kind uint8

// The kinds of messages.
const (
	// KindAcquire requests tokens from the owner of the zone's ledger.
	KindAcquire Kind = iota + 1
	// KindForward is a KindAcquire request that a node, usually the standby, forwards to the
	// owner. It isn't forwarded again.
	KindForward
	// KindBorrow requests tokens from the owner of another zone's ledger, or from a standby, which
	// lends them from the owner's deposit.
	KindBorrow
	// KindTransfer transfers tokens to the new owner of a ledger.
	KindTransfer
	// KindDeposit deposits tokens at the standby. The response contains the size of the deposit.
	KindDeposit
)

// Message requests tokens of an organisation from another node, or transfers some to it. The
// fields other than Kind, Organisation and Want are those of quota.Request, for KindAcquire and
// KindForward.
type Message struct {
	Kind         Kind    `cbor:"1,keyasint"`
	Organisation string  `cbor:"2,keyasint"`
	Need         int     `cbor:"3,keyasint,omitempty"`
	Reserve      int     `cbor:"4,keyasint,omitempty"`
	Refused      int     `cbor:"5,keyasint,omitempty"`
	Return       float64 `cbor:"6,keyasint,omitempty"`
	Slots        int     `cbor:"8,keyasint,omitempty"`
	// Want is the number of tokens that KindBorrow requests, or that KindTransfer and KindDeposit
	// deliver.
	Want float64 `cbor:"7,keyasint,omitempty"`
}

// Response is the response to a Message.
type Response struct {
	// Owned reports whether the node handled the message as owner or standby of the ledger. If it
	// is false, the message had no effect.
	Owned bool `cbor:"1,keyasint"`
	// Tokens is the number of tokens that the sender receives. In the response to KindDeposit it is
	// the size of the deposit.
	Tokens float64 `cbor:"2,keyasint,omitempty"`
	// RetryAfterMillis and SpacingMillis are quota.Grant's RetryAfter and Spacing in milliseconds.
	RetryAfterMillis int64 `cbor:"3,keyasint,omitempty"`
	SpacingMillis    int64 `cbor:"4,keyasint,omitempty"`
}

const (
	// maxMessageBytes bounds the size of a message, which holds a name and a few numbers.
	maxMessageBytes = 1 << 10
	// maxNameBytes bounds the length of an organisation's name in a message.
	maxNameBytes = 512
	// maxTokens bounds each number of tokens, requests or slots in a message.
	maxTokens = 1 << 24
	// maxRetryAfter bounds the durations in a response.
	maxRetryAfter = time.Minute
)

var (
	encMode = codec.NewShortEncoder()
	decMode = codec.NewDecoder(codec.Limits{Elements: 16, Nesting: 4})
)

// MessageError reports a message or response that is invalid or can't be read or encoded.
type MessageError struct {
	// Reason describes what is wrong.
	Reason string
	// Err is the cause; it may be nil.
	Err error
}

// Error implements error.
func (e *MessageError) Error() string {
	if e.Err != nil {
		return "quota message: " + e.Reason + ": " + e.Err.Error()
	}
	return "quota message: " + e.Reason
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// decode reads and decodes a body of at most maxMessageBytes into v. The error is a *MessageError.
func decode(r io.Reader, v any) error {
	body, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	switch {
	case err != nil:
		return &MessageError{Reason: "body could not be read", Err: err}
	case len(body) > maxMessageBytes:
		return &MessageError{Reason: "body is too large"}
	}
	if err := decMode.Unmarshal(body, v); err != nil {
		return &MessageError{Reason: "body could not be decoded", Err: err}
	}
	return nil
}

// check rejects a message with a value that no node sends. The error is a *MessageError.
func (m *Message) check() error {
	for _, n := range []float64{float64(m.Need), float64(m.Reserve), float64(m.Refused), float64(m.Slots), m.Return, m.Want} {
		if !(n >= 0 && n <= maxTokens) {
			return &MessageError{Reason: "number out of range"}
		}
	}
	if m.Kind < KindAcquire || m.Kind > KindDeposit || m.Organisation == "" || !model.ReadableText(m.Organisation, maxNameBytes) {
		return &MessageError{Reason: "invalid kind or organisation name"}
	}
	return nil
}

// check rejects a response with a number that no node sends. The error is a *MessageError.
func (a *Response) check() error {
	if !(a.Tokens >= 0 && a.Tokens <= maxTokens) || math.IsNaN(a.Tokens) ||
		a.RetryAfterMillis < 0 || a.RetryAfterMillis > maxRetryAfter.Milliseconds() ||
		a.SpacingMillis < 0 || a.SpacingMillis > maxRetryAfter.Milliseconds() {
		return &MessageError{Reason: "number out of range"}
	}
	return nil
}
