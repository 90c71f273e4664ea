package gate

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// slowdownTTL is how long a told slowdown counts. It fades towards the usual over
	// this time: a host that shares its processors changes within some 100 ms, and a
	// backend server that is asked for nothing tells no new one.
	slowdownTTL = 300 * time.Millisecond
	// maxSlowdown bounds what is believed of a host, either way.
	maxSlowdown = 16
)

// slowdown is how many times as long as usual work takes on the host at this moment, as
// its backend server tells it. The zero value was never told anything. It is safe for
// concurrent use.
type slowdown struct {
	factor atomic.Uint64 // float64
	at     atomic.Int64  // Unix nanoseconds; 0 before the first
}

// tell notes what the backend server has told.
func (s *slowdown) tell(factor float64, now time.Time) {
	s.factor.Store(math.Float64bits(max(1.0/maxSlowdown, min(factor, maxSlowdown))))
	s.at.Store(now.UnixNano())
}

// get returns the slowdown: 1 as usual, also where nothing recent is known. told is
// false where the backend server has never told one.
func (s *slowdown) get(now time.Time) (factor float64, told bool) {
	at := s.at.Load()
	if at == 0 {
		return 1, false
	}
	age := now.UnixNano() - at
	if age >= int64(slowdownTTL) {
		return 1, true
	}
	fresh := 1 - float64(max(age, 0))/float64(slowdownTTL)
	return 1 + fresh*(math.Float64frombits(s.factor.Load())-1), true
}

// Slowed notes how many times as long as usual work takes on the host at this moment.
func (g *Gate) Slowed(factor float64, now time.Time) { g.slowdown.tell(factor, now) }

// Slowdown returns how many times as long as usual work takes on the host at this
// moment; 1 as usual. told is false where the backend server has never said.
func (g *Gate) Slowdown(now time.Time) (factor float64, told bool) { return g.slowdown.get(now) }
