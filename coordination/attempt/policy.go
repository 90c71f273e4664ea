package attempt

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// Policy limits the attempts of one request.
type Policy struct {
	// MaxSends limits the number of gates to which the request is sent, including those
	// that refused it before it reached the backend server.
	MaxSends int
	// MinLeft is the time that must be left before the deadline for another attempt.
	MinLeft time.Duration
}

// DefaultPolicy returns the default limits; see docs/design/platform.md.
func DefaultPolicy() Policy { return Policy{MaxSends: 4, MinLeft: 15 * time.Millisecond} }

// Progress is the state of a request after its attempts so far.
type Progress struct {
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Attempts is the largest number of backend servers that the request may reach.
	Attempts int
	// Sends is the number of gates to which the request was sent.
	Sends int
	// Reached is the number of backend servers that the request has reached.
	Reached int
	// Exhausted says that there is no further gate to send the request to.
	Exhausted bool
	// Left is the time until the request's deadline.
	Left time.Duration
	// Last is the outcome of the last attempt.
	Last outcome.Outcome
}

// Step is the next action for a request without an answer.
type Step uint8

// The steps.
const (
	// Stop ends the request with the outcome so far.
	Stop Step = iota
	// Resend sends the request to another gate. No backend server was reached, so it
	// doesn't count as a retry.
	Resend
	// Repeat retries the request at one more backend server, if the retry budget allows
	// it.
	Repeat
)

// Next returns the next action after an attempt without an answer.
func (p Policy) Next(g Progress) Step {
	switch {
	case g.Exhausted, g.Sends >= p.MaxSends, g.Left < p.MinLeft:
		return Stop
	case g.Last != outcome.NotRun && !g.Repeatable:
		return Stop
	case g.Reached == 0:
		return Resend
	case g.Reached >= g.Attempts:
		return Stop
	default:
		return Repeat
	}
}
