package load

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// operation is one planned request; repeats and retries belong to it.
type operation struct {
	// seq numbers the operations from 0.
	seq int
	// class indexes Plan.Classes.
	class int
	// at is when it is due, after the start of the run.
	at time.Duration
	// path is the request path.
	path string
	// repeat says that it is sent twice at the same time.
	repeat bool
}

// schedule yields a plan's operations in order. The same plan yields the same
// operations.
type schedule struct {
	plan Plan
	rng  *rand.Rand
	// due holds the next arrival of each class.
	due []time.Duration
	seq int
}

// scheduleStream separates the schedule's random numbers from others that
// share the plan's seed.
const scheduleStream = 0x6c6f6164

func newSchedule(p Plan) *schedule {
	s := &schedule{plan: p, rng: rand.New(rand.NewPCG(p.Seed, scheduleStream))}
	for _, c := range p.Classes {
		s.due = append(s.due, s.gap(c))
	}
	return s
}

// next returns the next operation; false when the plan's bounds are reached.
func (s *schedule) next() (operation, bool) {
	if s.seq >= s.plan.Requests {
		return operation{}, false
	}
	first := s.pick()
	c := s.plan.Classes[first]
	op := operation{seq: s.seq, class: first, at: s.due[first]}
	if s.plan.Loop == LoopClosed {
		op.at = 0
	}
	if op.at >= s.plan.Duration.Std() {
		return operation{}, false
	}
	op.path = strings.ReplaceAll(c.Path, "{n}", strconv.Itoa(s.rng.IntN(max(1, c.Spread))))
	op.repeat = s.rng.Float64() < c.Repeats
	s.due[first] += s.gap(c)
	s.seq++
	return op, true
}

// pick returns the class whose arrival comes first. A closed loop takes the
// classes in the same order, without the times.
func (s *schedule) pick() int {
	first := 0
	for i, at := range s.due {
		if at < s.due[first] {
			first = i
		}
	}
	return first
}

func (s *schedule) gap(c Class) time.Duration {
	mean := float64(time.Second) / c.Rate
	if s.plan.Loop == LoopOpen && s.plan.Arrivals == ArrivalsConstant {
		return time.Duration(mean)
	}
	return time.Duration(s.rng.ExpFloat64() * mean)
}
