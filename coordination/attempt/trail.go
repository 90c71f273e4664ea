package attempt

import "github.com/jacinthgate/jacinthgate/protocol/outcome"

// Trail is what is known of a request after its attempts: whether another one may
// follow, and what its caller is told otherwise.
type Trail struct {
	// Progress is what Policy.Next decides by.
	Progress Progress

	worst  outcome.Outcome
	reason outcome.Reason
}

// NewTrail returns the trail of a request that may reach so many backend servers.
func NewTrail(repeatable bool, attempts int) Trail {
	return Trail{Progress: Progress{Repeatable: repeatable, Attempts: attempts}, worst: outcome.NotRun}
}

// Sent counts a gate that was asked.
func (t *Trail) Sent() { t.Progress.Sends++ }

// Reached counts a backend server that the request has reached.
func (t *Trail) Reached() { t.Progress.Reached++ }

// Note takes the outcome of an attempt and its reason. The reason that is told is
// that of the outcome that tells most: unknown once any attempt was.
func (t *Trail) Note(o outcome.Outcome, reason outcome.Reason) {
	t.Progress.Last = o
	if o == outcome.Unknown || t.worst == outcome.NotRun {
		t.reason = reason
	}
	if o == outcome.Unknown {
		t.worst = outcome.Unknown
	}
}

// NobodyLeft notes that there is no further backend server to ask.
func (t *Trail) NobodyLeft() {
	if t.reason == "" {
		t.Note(outcome.NotRun, outcome.ReasonNoEndpoint) // nobody was asked
	}
	t.Progress.Last = outcome.NotRun
	t.Progress.Exhausted = true
}

// Forbid notes that the request may be sent to no backend server, and why.
func (t *Trail) Forbid(reason outcome.Reason) {
	t.Note(outcome.NotRun, reason)
	t.Progress.Exhausted = true
}

// Worst returns the outcome that the caller is told, and why.
func (t *Trail) Worst() (outcome.Outcome, outcome.Reason) { return t.worst, t.reason }
