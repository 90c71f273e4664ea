package gate

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// slowdownTTL is how long a told figure counts. It fades towards the host's usual over
	// this time: a host that shares its processors changes many times a second, and a
	// backend server that is asked for nothing tells no new one.
	slowdownTTL = 300 * time.Millisecond
	// usualFalls and usualRises are how fast the usual figure follows those told: slow
	// moments are short and only ever raise them, so that it follows lower ones.
	usualFalls = 200 * time.Millisecond
	usualRises = 10 * time.Second
	// usualStep bounds the time that one figure stands for.
	usualStep = 100 * time.Millisecond
	// leastSlowdown is the least slowdown that is one, and mostSlowdown the most that is
	// believed.
	leastSlowdown = 1.1
	mostSlowdown  = 16
	// elsewhereLeast is how much sooner a request must be served on a host that isn't slow
	// to be sent on: the way there and back again takes a few milliseconds.
	elsewhereLeast = 10 * time.Millisecond
)

// slowdown is how many times as long as usual work takes on the host at this moment, by
// the figures that its backend server tells. These count the server's own speed as well,
// which is learnt, so that only what passes is left. The zero value was never told
// anything. It is safe for concurrent use; a lost race loses one figure.
type slowdown struct {
	figure atomic.Uint64 // float64
	usual  atomic.Uint64 // float64
	at     atomic.Int64  // Unix nanoseconds; 0 before the first
}

// tell notes a figure that the backend server has told.
func (s *slowdown) tell(figure float64, now time.Time) {
	at := now.UnixNano()
	last := s.at.Swap(at)
	s.figure.Store(math.Float64bits(figure))
	if last == 0 {
		s.usual.Store(math.Float64bits(figure))
		return
	}
	usual, follows := math.Float64frombits(s.usual.Load()), usualRises
	if figure < usual {
		follows = usualFalls
	}
	gain := float64(min(max(at-last, 0), int64(usualStep))) / float64(follows)
	s.usual.Store(math.Float64bits(usual + gain*(figure-usual)))
}

// get returns the slowdown: 1 as usual, also where nothing recent is known.
func (s *slowdown) get(now time.Time) float64 {
	at := s.at.Load()
	if at == 0 {
		return 1
	}
	age := now.UnixNano() - at
	if age >= int64(slowdownTTL) {
		return 1
	}
	factor := math.Float64frombits(s.figure.Load()) / math.Float64frombits(s.usual.Load())
	if factor < leastSlowdown {
		return 1
	}
	fresh := 1 - float64(max(age, 0))/float64(slowdownTTL)
	return 1 + fresh*(min(factor, mostSlowdown)-1)
}

// Slowed notes how long work takes on the host at this moment, in parts of what it takes
// on any; above 0.
func (g *Gate) Slowed(figure float64, now time.Time) { g.slowdown.tell(figure, now) }

// Slowdown returns how many times as long as usual work takes on the host at this moment;
// 1 as usual, also where the backend server doesn't tell.
func (g *Gate) Slowdown(now time.Time) float64 { return g.slowdown.get(now) }

// elsewhere reports whether a request is better sent to another backend server: it would
// be served sooner there, as this host is slow at this moment, and its entry node can
// choose again.
func (g *Gate) elsewhere(r Request, now time.Time) bool {
	if !r.Elsewhere {
		return false
	}
	slow := g.slowdown.get(now)
	if slow == 1 {
		return false
	}
	times := g.times.Of(r.Work)
	usual := times.average()
	return times.slowed(usual, slow)-usual >= elsewhereLeast
}
