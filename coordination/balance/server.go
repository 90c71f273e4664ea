package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// key names one start of a node; a restarted one begins anew.
type key struct {
	node        model.NodeID
	incarnation uint64
}

// server is what this node has seen of one backend server. All fields are
// atomic; times are Unix nanoseconds.
type server struct {
	inFlight atomic.Int64
	warmFrom atomic.Int64 // start of the slow start; 0 when warm
	cold     atomic.Bool  // Cold of the latest record
	fast     atomic.Bool  // whether it is in its tier's fastSet

	others     atomic.Uint64 // float64: reported load that is not this node's own
	slots      atomic.Int64  // reported slots; 0 when not known
	work       atomic.Int64  // reported mean time that a request holds a slot; 0 when not known
	reportedAt atomic.Int64
	slowed     atomic.Uint64 // float64: reported slowdown of the host; 0 when not known

	latency   atomic.Uint64 // float64: moving average of log2(latency / group's for such work)
	latencyAt atomic.Int64
	latencies atomic.Int32 // number of latencies, up to maxLatencies

	inRow       atomic.Int32  // failures in a row
	failureRate atomic.Uint64 // float64: moving average of failures
	results     atomic.Int32  // number of results, up to MinSamples

	ejectedUntil atomic.Int64 // 0 when not ejected
	ejections    atomic.Int32 // doublings of the next ejection
	ejectAgain   atomic.Int64 // no new attempt to eject before
	trialSince   atomic.Int64 // 0 when no trial runs
	restoredAt   atomic.Int64 // end of the last ejection
}

// loadPerSlot estimates how full the server is: this node's own requests in
// flight, which are certain, and what the server last reported of the others.
// As a report ages the average of the group takes its place, for a server not
// heard of is neither idle nor full. A cold server counts as having fewer
// slots.
func (s *server) loadPerSlot(c *Config, g *group, m *member, at int64) float64 {
	slots := s.slotsOr(m.slots)
	own := float64(s.inFlight.Load())
	load := max(own, floatOf(&g.stats.load)*slots)
	if age := at - s.reportedAt.Load(); age < int64(c.LoadTTL) {
		old := float64(max(age, 0)) / float64(c.LoadTTL)
		load = old*load + (1-old)*(own+floatOf(&s.others))
	}
	return load / (slots * s.warmth(c, g.slowStart(), at))
}

// slotsOr returns the reported slots, or else those given.
func (s *server) slotsOr(otherwise int) float64 {
	if n := s.slots.Load(); n > 0 {
		return float64(n)
	}
	return float64(otherwise)
}

// workOr returns the reported mean time that a request holds a slot, or else
// the one given.
func (s *server) workOr(otherwise time.Duration) time.Duration {
	if d := s.work.Load(); d > 0 {
		return time.Duration(d)
	}
	return otherwise
}

// warmth returns the part of its full share that the server gets, from
// ColdFloor to 1.
func (s *server) warmth(c *Config, slowStart time.Duration, at int64) float64 {
	from := s.warmFrom.Load()
	if from == 0 || slowStart <= 0 {
		return 1
	}
	part := float64(at-from) / float64(slowStart)
	if part >= 1 {
		s.warmFrom.CompareAndSwap(from, 0)
		return 1
	}
	return max(part, c.ColdFloor)
}

// slowness returns how many times slower than the group the server is, within
// the cap both ways; 1 when nothing recent is known.
func (s *server) slowness(c *Config, at int64) float64 {
	if s.latencies.Load() == 0 {
		return 1
	}
	age := at - s.latencyAt.Load()
	if age >= int64(c.LatencyTTL) {
		return 1
	}
	d := floatOf(&s.latency) * (1 - float64(max(age, 0))/float64(c.LatencyTTL))
	return math.Exp2(max(min(d, c.LatencyCap), -c.LatencyCap))
}

// slowdown returns how many times as long as usual work takes on the server's host at
// this moment. It fades to the usual within the configured time.
func (s *server) slowdown(c *Config, at int64) float64 {
	factor := floatOf(&s.slowed)
	age := at - s.reportedAt.Load()
	if factor == 0 || age >= int64(c.SlowdownTTL) {
		return 1
	}
	return 1 + (factor-1)*(1-float64(max(age, 0))/float64(c.SlowdownTTL))
}

// report notes a reported load. own is this node's requests in flight when it
// arrived: the report counts them too.
func (s *server) report(l Load, own int64, at int64) {
	storeFloat(&s.others, max(0, float64(int64(l.Used+l.Queued)-own)))
	s.slots.Store(int64(l.Slots))
	s.work.Store(int64(l.Work))
	storeFloat(&s.slowed, l.Slowdown)
	s.reportedAt.Store(at)
}

func (s *server) ejected() bool { return s.ejectedUntil.Load() != 0 }

// startTrial reports whether the caller may send the one trial request after
// an ejection.
func (s *server) startTrial(c *Config, at int64) bool {
	until := s.ejectedUntil.Load()
	if until == 0 || at < until {
		return false
	}
	since := s.trialSince.Load()
	if since != 0 && at-since < int64(c.TrialTimeout) {
		return false
	}
	return s.trialSince.CompareAndSwap(since, at)
}

// restore ends an ejection; the server starts slowly.
func (s *server) restore(at int64) {
	s.inRow.Store(0)
	s.results.Store(0)
	storeFloat(&s.failureRate, 0)
	s.latencies.Store(0)
	storeFloat(&s.latency, 0)
	s.warmFrom.Store(at)
	s.restoredAt.Store(at)
	s.ejectedUntil.Store(0)
	s.trialSince.Store(0)
}

// member is one candidate of a group.
type member struct {
	record *endpoint.Record
	server *server
	way    *zoneWay
	slots  int
	tier   tier
	index  int32 // in the tier
}

func floatOf(a *atomic.Uint64) float64 { return math.Float64frombits(a.Load()) }

func storeFloat(a *atomic.Uint64, v float64) { a.Store(math.Float64bits(v)) }

// average moves a moving average towards v. A lost race loses one sample.
func average(a *atomic.Uint64, v, gain float64) {
	old := a.Load()
	f := math.Float64frombits(old)
	a.CompareAndSwap(old, math.Float64bits(f+gain*(v-f)))
}
