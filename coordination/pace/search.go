package pace

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

const (
	// quickAsks is the number of hosts that are asked for a link that is soon
	// free before the best of them is taken as it is. No host knows how full the
	// links of others are now: it hears of each about once a second, in which ten
	// answers pass. Of 20,000 answers at 0.6 of the links' rate two asks serve
	// 19,815 in time, one 19,457 and three 19,831 (TestSearchServesInTime).
	quickAsks = 2
	// quickPart is the part of the time left that an answer waits for the link of
	// a host that is asked first. It is about the time in which the backend
	// server works on it, while the link gets free. An eighth serves as many in
	// time and asks half as often again.
	quickPart = 4
	// patientPart is the part of the time left that an answer waits for a link
	// once none is soon free: the rest is for the work and for sending it. At 0.85
	// of the links' rate a half serves 0.984 in time, two fifths 0.966; at 1.2
	// times the rate a half 0.454, three fifths 0.442.
	patientPart = 2
)

// Search finds the host whose link a large answer takes. Gates refuse where the
// link's backlog is longer than the answer may wait, before anything has run, and
// tell how long it is; the search then takes the best of those asked. The zero
// value has asked nobody. It is used by one goroutine.
type Search struct {
	asked   int
	settled bool
	best    model.NodeID
	least   time.Duration
}

// Looking reports whether another host is better asked than Best.
func (s *Search) Looking() bool { return !s.settled && s.asked < quickAsks }

// Asked reports whether a host was asked before.
func (s *Search) Asked() bool { return s.asked > 0 }

// Wait returns how long the answer may wait for the link of the host that is asked
// now, of the time left until it is due.
func (s *Search) Wait(left time.Duration) time.Duration {
	if s.Looking() {
		return left / quickPart
	}
	return left / patientPart
}

// Refused notes a host whose link is busy for so long.
func (s *Search) Refused(node model.NodeID, backlog time.Duration) {
	s.asked++
	if s.best == "" || backlog < s.least {
		s.best, s.least = node, backlog
	}
}

// Best ends the looking and returns the host of the shortest backlog, which is to
// be asked again. It reports false when called before, or when nobody was asked.
func (s *Search) Best() (model.NodeID, bool) {
	if s.settled || s.asked == 0 {
		return "", false
	}
	s.settled = true
	return s.best, true
}
