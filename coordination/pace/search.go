package pace

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

const (
	// quickTries is the number of hosts that are tried for a link that is soon
	// free, before the best of them is taken as it is. No host has the current
	// backlogs of the links of others: it receives each about once a second, in
	// which a link carries ten responses. Of 20,000 responses at 0.6 of the links'
	// rate, two tries serve 19,815 in time, one 19,457 and three 19,831
	// (TestSearchServesInTime).
	quickTries = 2
	// quickWaitDivisor bounds the wait for the link of a quick try to this fraction
	// of the time left. A quarter is about the time for which the backend server
	// works on the response, while the link becomes free. An eighth serves as many
	// in time, but needs half as many tries again.
	quickWaitDivisor = 4
	// patientWaitDivisor bounds the wait for a link after the quick tries to this
	// fraction of the time left. The rest is for the work and for sending the
	// response. At 0.85 of the links' rate a half serves 0.984 in time, two fifths
	// 0.966; at 1.2 times the rate a half serves 0.454, three fifths 0.442.
	patientWaitDivisor = 2
)

// Search selects the host whose link sends a large response. A gate refuses the
// request, before anything has run, if the link's backlog is longer than the
// response may wait, and reports the backlog; after a few refusals the search
// selects the tried host with the shortest backlog. The zero value has tried no
// host. It is used by one goroutine.
type Search struct {
	tried       int
	selected    bool
	best        model.NodeID
	bestBacklog time.Duration
}

// TryAnother reports whether a new host should be tried rather than Best.
func (s *Search) TryAnother() bool { return !s.selected && s.tried < quickTries }

// Tried reports whether a host was tried before.
func (s *Search) Tried() bool { return s.tried > 0 }

// Wait returns how long the response may wait for the link of the host that is
// tried now. left is the time until the response is due.
func (s *Search) Wait(left time.Duration) time.Duration {
	if s.TryAnother() {
		return left / quickWaitDivisor
	}
	return left / patientWaitDivisor
}

// Refused records that a host refused the request, and the backlog of its link.
func (s *Search) Refused(node model.NodeID, backlog time.Duration) {
	s.tried++
	if s.best == "" || backlog < s.bestBacklog {
		s.best, s.bestBacklog = node, backlog
	}
}

// Best ends the quick tries and returns the tried host with the shortest backlog,
// which should be tried again. It returns false if it was called before, or if no
// host was tried.
func (s *Search) Best() (model.NodeID, bool) {
	if s.selected || s.tried == 0 {
		return "", false
	}
	s.selected = true
	return s.best, true
}
