package attempt

import (
	"slices"
	"sync"
	"time"
)

// Runs are the repeated runs that are under way at this host's backend server. The calls
// that a run makes expire at its deadline, which is how they are known: a run that is a
// repeat makes its calls repeats. It is safe for concurrent use.
type Runs struct {
	mu sync.Mutex
	// deadlines are those of the runs, one each.
	deadlines []time.Time
}

// NewRuns returns an empty record.
func NewRuns() *Runs { return new(Runs) }

// Begin adds a repeated run that ends at a deadline. End must follow.
func (r *Runs) Begin(deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadlines = append(r.deadlines, deadline)
}

// End removes a run with the deadline.
func (r *Runs) End(deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.IndexFunc(r.deadlines, deadline.Equal); i >= 0 {
		r.deadlines = slices.Delete(r.deadlines, i, i+1)
	}
}

// Call reports whether a request of this host whose caller waits until a moment may be a
// call of a repeated run. Some are taken for one that are none: that costs a repeat, while
// a call that isn't known might break the bound.
func (r *Runs) Call(until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.deadlines, func(deadline time.Time) bool {
		d := until.Sub(deadline)
		return d >= -sameMoment && d <= sameMoment
	})
}
