package attempt

import "github.com/jacinthgate/jacinthgate/protocol/outcome"

// Trail records the outcomes of one request's attempts. It yields whether another attempt
// may follow and, if none does, the outcome and reason that are returned to the caller.
type Trail struct {
	// Progress is the input of Policy.Next.
	Progress Progress

	worst  outcome.Outcome
	reason outcome.Reason
}

// NewTrail returns the trail of a request. repeatable says that it may run more than once;
// attempts is the largest number of backend servers that it may reach.
func NewTrail(repeatable bool, attempts int) Trail {
	return Trail{Progress: Progress{Repeatable: repeatable, Attempts: attempts}, worst: outcome.NotRun}
}

// Sent counts a gate to which the request was sent.
func (t *Trail) Sent() { t.Progress.Sends++ }

// Reached counts a backend server that the request has reached.
func (t *Trail) Reached() { t.Progress.Reached++ }

// Note records the outcome of an attempt and its reason. The worst outcome is kept with
// its latest reason: once the outcome of any attempt is unknown, that of the request is.
func (t *Trail) Note(o outcome.Outcome, reason outcome.Reason) {
	t.Progress.Last = o
	if o == outcome.Unknown || t.worst == outcome.NotRun {
		t.reason = reason
	}
	if o == outcome.Unknown {
		t.worst = outcome.Unknown
	}
}

// Exhaust records that there is no further backend server to send the request to.
func (t *Trail) Exhaust() {
	if t.reason == "" {
		t.Note(outcome.NotRun, outcome.ReasonNoEndpoint) // the request was sent nowhere
	}
	t.Progress.Last = outcome.NotRun
	t.Progress.Exhausted = true
}

// Forbid records that the request may not be sent to any backend server, and why.
func (t *Trail) Forbid(reason outcome.Reason) {
	t.Note(outcome.NotRun, reason)
	t.Progress.Exhausted = true
}

// Worst returns the outcome and the reason that are returned to the caller.
func (t *Trail) Worst() (outcome.Outcome, outcome.Reason) { return t.worst, t.reason }
