package attempt

import (
	"sync"
	"time"
)

// RefusalHistory is a bounded history of refused requests. It recognises the request with
// which a caller retries after a refusal: the caller has waited since its first attempt, so
// the answer is due relative to that attempt. If caller retries were treated as new
// requests, those that can only be answered late would take slots and link capacity from
// requests that would be answered in time.
//
// Each attempt of a caller has an identifier of its own. A request is therefore taken for
// the retry of a refused one if it has the same fingerprint and its caller waits until the
// same time. RefusalHistory is safe for concurrent use.
type RefusalHistory struct {
	mu      sync.Mutex
	refused map[uint64][]refusal // by fingerprint
	// order is a ring of the recorded refusals. Once it holds maxRefusals, the next one
	// replaces that at index oldest.
	order  []refusalKey
	oldest int
}

// refusal is a recorded refusal.
type refusal struct {
	// first is when the caller's first attempt arrived; deadline is the time until which
	// the caller waits.
	first, deadline time.Time
}

type refusalKey struct {
	fingerprint uint64
	deadline    time.Time
}

const (
	// maxRefusals limits the recorded refusals. It covers those of some seconds at a node
	// that gets a few hundred requests a second.
	maxRefusals = 1024
	// deadlineTolerance is the largest difference between deadlines that are taken to be
	// the same: the network delay of requests is a few milliseconds, and the time that a
	// caller waits is sent in whole milliseconds.
	deadlineTolerance = 60 * time.Millisecond
)

// NewRefusalHistory returns an empty history.
func NewRefusalHistory() *RefusalHistory { return &RefusalHistory{refused: make(map[uint64][]refusal)} }

// FirstAttempt looks up a request that has the fingerprint and whose caller waits until the
// deadline. If such a request was refused, it returns the arrival time of the caller's
// first attempt and true.
func (r *RefusalHistory) FirstAttempt(fingerprint uint64, deadline time.Time) (first time.Time, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.refused[fingerprint] {
		if d := o.deadline.Sub(deadline); d >= -deadlineTolerance && d <= deadlineTolerance {
			return o.first, true
		}
	}
	return time.Time{}, false
}

// Record records the refusal of a request. first is the arrival time of the caller's
// first attempt, deadline the time until which the caller waits. A request with
// fingerprint 0 has none and isn't recorded.
func (r *RefusalHistory) Record(fingerprint uint64, first, deadline time.Time) {
	if fingerprint == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enqueue(refusalKey{fingerprint, deadline})
	r.refused[fingerprint] = append(r.refused[fingerprint], refusal{first: first, deadline: deadline})
}

// enqueue adds a refusal to order; once maxRefusals are recorded it evicts the oldest.
func (r *RefusalHistory) enqueue(k refusalKey) {
	if len(r.order) < maxRefusals {
		r.order = append(r.order, k)
		return
	}
	r.remove(r.order[r.oldest])
	r.order[r.oldest] = k
	r.oldest = (r.oldest + 1) % maxRefusals
}

// remove deletes one refusal from the map.
func (r *RefusalHistory) remove(k refusalKey) {
	all := r.refused[k.fingerprint]
	for i := range all {
		if all[i].deadline.Equal(k.deadline) {
			all = append(all[:i], all[i+1:]...)
			break
		}
	}
	if len(all) == 0 {
		delete(r.refused, k.fingerprint)
		return
	}
	r.refused[k.fingerprint] = all
}
