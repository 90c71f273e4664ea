package quota

import (
	"io"
	"math"
	"time"

	"github.com/jacinthgate/jacinthgate/state/codec"
)

// Kind says what a message asks for.
type Kind uint8

// The kinds.
const (
	// KindAcquire asks the owner of the zone's ledger for tokens.
	KindAcquire Kind = iota + 1
	// KindForward is KindAcquire that a standby hands on; it isn't handed on again.
	KindForward
	// KindBorrow asks the owner of another zone's ledger, or a standby for what it holds of the
	// owner's tokens.
	KindBorrow
	// KindTransfer hands tokens over to the new owner of a ledger.
	KindTransfer
	// KindDeposit leaves tokens with the standby; it answers how many it holds now.
	KindDeposit
)

// Message asks another node for tokens of an organisation, or gives some.
type Message struct {
	Kind         Kind    `cbor:"1,keyasint"`
	Organisation string  `cbor:"2,keyasint"`
	Need         int     `cbor:"3,keyasint,omitempty"`
	Reserve      int     `cbor:"4,keyasint,omitempty"`
	Refused      int     `cbor:"5,keyasint,omitempty"`
	Return       float64 `cbor:"6,keyasint,omitempty"`
	Slots        int     `cbor:"8,keyasint,omitempty"`
	// Want is how many tokens KindBorrow asks for, or KindTransfer and KindDeposit give.
	Want float64 `cbor:"7,keyasint,omitempty"`
}

// Answer answers a Message.
type Answer struct {
	// Owned says that the node owns the ledger; otherwise nothing was done.
	Owned bool `cbor:"1,keyasint"`
	// Tokens is what the asker gets.
	Tokens float64 `cbor:"2,keyasint,omitempty"`
	// AfterMillis and SpacingMillis tell when more tokens come.
	AfterMillis   int64 `cbor:"3,keyasint,omitempty"`
	SpacingMillis int64 `cbor:"4,keyasint,omitempty"`
}

const (
	// maxBody bounds a message, in bytes: a name and a few numbers.
	maxBody = 1 << 10
	// maxName bounds the name of an organisation in a message, in bytes.
	maxName = 512
	// maxTokens bounds the tokens of one message.
	maxTokens = 1 << 24
	// maxWait bounds the times of an answer.
	maxWait = time.Minute
)

var (
	encMode = codec.NewShortEncoder()
	decMode = codec.NewDecoder(codec.Limits{Elements: 16, Nesting: 4})
)

// MessageError reports a message that can't be read.
type MessageError struct {
	// Reason says what is wrong.
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

// decode reads a bounded body into v. The error is a *MessageError.
func decode(r io.Reader, v any) error {
	body, err := io.ReadAll(io.LimitReader(r, maxBody+1))
	switch {
	case err != nil:
		return &MessageError{Reason: "not read", Err: err}
	case len(body) > maxBody:
		return &MessageError{Reason: "too large"}
	}
	if err := decMode.Unmarshal(body, v); err != nil {
		return &MessageError{Reason: "not decoded", Err: err}
	}
	return nil
}

// check refuses numbers that no node sends.
func (m *Message) check() error {
	for _, n := range []float64{float64(m.Need), float64(m.Reserve), float64(m.Refused), float64(m.Slots), m.Return, m.Want} {
		if !(n >= 0 && n <= maxTokens) {
			return &MessageError{Reason: "a number is out of bounds"}
		}
	}
	if m.Kind < KindAcquire || m.Kind > KindDeposit || m.Organisation == "" || len(m.Organisation) > maxName {
		return &MessageError{Reason: "no kind, or no organisation's name"}
	}
	return nil
}

// check refuses numbers that no node sends.
func (a *Answer) check() error {
	if !(a.Tokens >= 0 && a.Tokens <= maxTokens) || math.IsNaN(a.Tokens) ||
		a.AfterMillis < 0 || a.AfterMillis > maxWait.Milliseconds() ||
		a.SpacingMillis < 0 || a.SpacingMillis > maxWait.Milliseconds() {
		return &MessageError{Reason: "a number is out of bounds"}
	}
	return nil
}
