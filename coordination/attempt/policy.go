package attempt

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// Policy bounds the attempts of one request.
type Policy struct {
	// MaxSends bounds the gates that are asked, those that refused before the
	// backend server was reached included.
	MaxSends int
	// MinLeft is the least time for which another attempt is worth making.
	MinLeft time.Duration
}

// DefaultPolicy returns the policy measured in docs/design/platform.md.
func DefaultPolicy() Policy { return Policy{MaxSends: 4, MinLeft: 15 * time.Millisecond} }

// Progress is what has become of a request so far.
type Progress struct {
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Attempts is the number of backend servers that it may reach.
	Attempts int
	// Sends is the number of gates that were asked.
	Sends int
	// Reached is the number of backend servers that it has reached.
	Reached int
	// Exhausted says that there is no further gate to ask.
	Exhausted bool
	// Left is the time until its deadline.
	Left time.Duration
	// Last is the outcome of the last attempt.
	Last outcome.Outcome
}

// Step says what to do next.
type Step uint8

// The steps.
const (
	// Stop ends the request with what is known.
	Stop Step = iota
	// Resend asks another gate. No backend server was reached, so it is no
	// repeat.
	Resend
	// Repeat reaches one more backend server, and needs room in the budget.
	Repeat
)

// Next returns what may be done after an attempt without an answer.
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
