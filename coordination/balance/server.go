package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// serverKey identifies one instance of a backend server. A restarted one has another
// incarnation, and so begins with empty statistics.
type serverKey struct {
	node        model.NodeID
	incarnation uint64
}

// server holds this node's statistics of one backend server. All fields are atomic; times
// are in Unix nanoseconds.
type server struct {
	inFlight    atomic.Int64 // this node's requests in flight
	warmupStart atomic.Int64 // start of the slow start; 0 when warm
	cold        atomic.Bool  // Cold of the latest record
	inFastSet   atomic.Bool  // whether it is in its tier's fastSet

	otherLoad    atomic.Uint64 // float64: reported load, less this node's own requests
	slots        atomic.Int64  // reported slots; 0 when not known
	serviceTime  atomic.Int64  // reported mean time that a request holds a slot; 0 when not known
	reportedAt   atomic.Int64  // time of the latest load report
	hostSlowdown atomic.Uint64 // float64: reported slowdown of the host; 0 when not known

	relativeLatency atomic.Uint64 // float64: moving average of log2(latency / the group's mean for the workload)
	latencyAt       atomic.Int64  // time of the latest latency
	latencyCount    atomic.Int32  // number of latencies, up to maxLatencies

	consecutiveFailures atomic.Int32
	failureRate         atomic.Uint64 // float64: moving average, 1 for a failure and 0 for a success
	resultCount         atomic.Int32  // number of results, up to MinSamples

	hold   atomic.Pointer[hold] // nil before the first
	sentAt atomic.Int64         // time of the latest request, while the server is reduced

	ejectedUntil atomic.Int64 // 0 when not ejected
	ejections    atomic.Int32 // number of doublings of the next ejection's duration
	ejectRetryAt atomic.Int64 // earliest time of the next attempt to eject
	trialSince   atomic.Int64 // start of the running trial; 0 when none runs
	restoredAt   atomic.Int64 // end of the last ejection
}

// loadPerSlot returns the estimated load of the server as a fraction of its slots: this
// node's own requests in flight, which are exact, plus the last reported load of the other
// nodes. As the report ages, the estimate moves to the group's average, because a server
// without recent reports is to count as neither idle nor full. A cold server counts as
// having fewer slots.
func (s *server) loadPerSlot(c *Config, g *group, m *member, at int64) float64 {
	slots := s.slotsOr(m.slots)
	own := float64(s.inFlight.Load())
	load := max(own, floatOf(&g.stats.load)*slots)
	if age := at - s.reportedAt.Load(); age < int64(c.LoadTTL) {
		staleness := float64(max(age, 0)) / float64(c.LoadTTL)
		load = staleness*load + (1-staleness)*(own+floatOf(&s.otherLoad))
	}
	return load / (slots * s.warmupShare(c, g.slowStart(), at))
}

// slotsOr returns the reported slots, or the fallback if there is no report.
func (s *server) slotsOr(fallback int) float64 {
	if n := s.slots.Load(); n > 0 {
		return float64(n)
	}
	return float64(fallback)
}

// serviceTimeOr returns the reported mean time that a request holds a slot, or the fallback if
// there is no report.
func (s *server) serviceTimeOr(fallback time.Duration) time.Duration {
	if d := s.serviceTime.Load(); d > 0 {
		return time.Duration(d)
	}
	return fallback
}

// warmupShare returns the fraction of its full share of requests that the server gets, from
// ColdFloor at the start of its slow start to 1 at the end.
func (s *server) warmupShare(c *Config, slowStart time.Duration, at int64) float64 {
	began := s.warmupStart.Load()
	if began == 0 || slowStart <= 0 {
		return 1
	}
	fraction := float64(at-began) / float64(slowStart)
	if fraction >= 1 {
		s.warmupStart.CompareAndSwap(began, 0)
		return 1
	}
	return max(fraction, c.ColdFloor)
}

// slowness returns the factor by which the server's latency exceeds the group's, from
// 2^-LatencyCap to 2^LatencyCap. The factor decays to 1 as the last latency ages.
func (s *server) slowness(c *Config, at int64) float64 {
	if s.latencyCount.Load() == 0 {
		return 1
	}
	age := at - s.latencyAt.Load()
	if age >= int64(c.LatencyTTL) {
		return 1
	}
	exponent := floatOf(&s.relativeLatency) * (1 - float64(max(age, 0))/float64(c.LatencyTTL))
	return math.Exp2(max(min(exponent, c.LatencyCap), -c.LatencyCap))
}

// slowdown returns the factor by which work currently takes longer than usual on the
// server's host. A reported factor decays linearly to 1 over SlowdownTTL.
func (s *server) slowdown(c *Config, at int64) float64 {
	factor := floatOf(&s.hostSlowdown)
	age := at - s.reportedAt.Load()
	if factor == 0 || age >= int64(c.SlowdownTTL) {
		return 1
	}
	return 1 + (factor-1)*(1-float64(max(age, 0))/float64(c.SlowdownTTL))
}

// applyReport stores a load report. inFlight is the number of this node's requests in flight
// when the report arrived; they are subtracted, because the report counts them too.
func (s *server) applyReport(l Load, inFlight int64, at int64) {
	storeFloat(&s.otherLoad, max(0, float64(int64(l.Used+l.Queued)-inFlight)))
	s.slots.Store(int64(l.Slots))
	s.serviceTime.Store(int64(l.MeanServiceTime))
	storeFloat(&s.hostSlowdown, l.Slowdown)
	s.reportedAt.Store(at)
}

// hold is a time for which an instance of a backend server accepts no request, see Result.Hold.
type hold struct {
	instance string
	until    int64
}

// heldFor returns for how long an instance accepts no request; 0 if it may accept one.
func (s *server) heldFor(instance string, at int64) time.Duration {
	h := s.hold.Load()
	if h == nil || h.instance != instance {
		return 0
	}
	return time.Duration(max(0, h.until-at))
}

func (s *server) ejected() bool { return s.ejectedUntil.Load() != 0 }

// startTrial starts the trial of an ejected server: it reports whether the caller may send
// the single trial request. That is so once the ejection time is over and no other trial
// is running or the last one has exceeded TrialTimeout.
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

// restore ends an ejection. It resets the statistics and begins a slow start.
func (s *server) restore(at int64) {
	s.consecutiveFailures.Store(0)
	s.resultCount.Store(0)
	storeFloat(&s.failureRate, 0)
	s.latencyCount.Store(0)
	storeFloat(&s.relativeLatency, 0)
	s.warmupStart.Store(at)
	s.restoredAt.Store(at)
	s.ejectedUntil.Store(0)
	s.trialSince.Store(0)
}

// member is one candidate of a group: a backend server's record in the view with the
// statistics of the server and of its zone.
type member struct {
	record *endpoint.Record
	server *server
	zone   *zoneState
	slots  int // slots according to the record
	tier   tier
	index  int32 // position in the tier
}

// reduced reports whether the gate offers fewer slots than the backend server has.
func (m *member) reduced() bool {
	n := m.server.slots.Load()
	return n > 0 && n < int64(m.slots)
}

// held reports whether the backend server accepts no request at present.
func (m *member) held(at int64) bool { return m.server.heldFor(m.record.Instance, at) > 0 }

func floatOf(a *atomic.Uint64) float64 { return math.Float64frombits(a.Load()) }

func storeFloat(a *atomic.Uint64, v float64) { a.Store(math.Float64bits(v)) }

// updateAverage adds v to an exponential moving average with the smoothing factor gain. Of
// two concurrent calls, one may have no effect.
func updateAverage(a *atomic.Uint64, v, gain float64) {
	old := a.Load()
	f := math.Float64frombits(old)
	a.CompareAndSwap(old, math.Float64bits(f+gain*(v-f)))
}
