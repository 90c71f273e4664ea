package attempt

import (
	"slices"
	"sync"
	"time"
)

// Runs holds the deadlines of the retries that this host's backend server is running. The
// nested calls of a run expire at its deadline, by which they are recognised: the nested
// calls of a retry count as retries too. It is safe for concurrent use.
type Runs struct {
	mu        sync.Mutex
	deadlines []time.Time // one for each run
}

// NewRuns returns an empty set of runs.
func NewRuns() *Runs { return new(Runs) }

// Begin adds a retry that runs until the deadline at the latest. End must follow.
func (r *Runs) Begin(deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadlines = append(r.deadlines, deadline)
}

// End removes one run with the deadline.
func (r *Runs) End(deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.IndexFunc(r.deadlines, deadline.Equal); i >= 0 {
		r.deadlines = slices.Delete(r.deadlines, i, i+1)
	}
}

// Call reports whether a request of this host that expires at callDeadline may be a nested
// call of a retry. It prefers false positives: each costs one retry of the budget, while
// calls that it missed could exceed the budget.
func (r *Runs) Call(callDeadline time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.deadlines, func(deadline time.Time) bool {
		d := callDeadline.Sub(deadline)
		return d >= -deadlineTolerance && d <= deadlineTolerance
	})
}
