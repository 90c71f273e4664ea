package gate

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// slowdownTTL is how long a reported slowness counts. The slowdown decays to none over
	// this time: the speed of a host with shared processors changes many times a second,
	// and a backend server that receives no requests sends no new report.
	slowdownTTL = 300 * time.Millisecond
	// baselineFallTime and baselineRiseTime are the time constants of the baseline towards
	// lower and higher reports. Slow periods are short and can only raise the reported
	// slowness, so the baseline follows lower reports much faster.
	baselineFallTime = 200 * time.Millisecond
	baselineRiseTime = 10 * time.Second
	// maxBaselineStep bounds the time since the previous report by which a report is
	// weighted in the baseline.
	maxBaselineStep = 100 * time.Millisecond
	// minSlowdown is the least ratio that counts as a slowdown. maxSlowdown caps it, as a
	// higher one is not credible.
	minSlowdown = 1.1
	maxSlowdown = 16
	// minRerouteGain is the least service time that a request must save on a host without a
	// slowdown to be rerouted: the round trip takes a few milliseconds.
	minRerouteGain = 10 * time.Millisecond
)

// slowdown estimates the current slowdown of the host: the factor by which work takes longer
// than usual. It is derived from the slowness that the backend server reports. Since that
// includes the server's own speed, a moving average of the reports serves as the baseline, so
// that only temporary changes count. The zero value has no report. It is safe for concurrent
// use; concurrent updates may lose one report.
type slowdown struct {
	slowness  atomic.Uint64 // float64
	baseline  atomic.Uint64 // float64
	updatedAt atomic.Int64  // Unix nanoseconds; 0 before the first report
}

// observe adds a slowness that the backend server has reported.
func (s *slowdown) observe(slowness float64, now time.Time) {
	at := now.UnixNano()
	last := s.updatedAt.Swap(at)
	s.slowness.Store(math.Float64bits(slowness))
	if last == 0 {
		s.baseline.Store(math.Float64bits(slowness))
		return
	}
	baseline, timeConstant := math.Float64frombits(s.baseline.Load()), baselineRiseTime
	if slowness < baseline {
		timeConstant = baselineFallTime
	}
	gain := float64(min(max(at-last, 0), int64(maxBaselineStep))) / float64(timeConstant)
	s.baseline.Store(math.Float64bits(baseline + gain*(slowness-baseline)))
}

// current returns the slowdown at now; 1 for none, or without a recent report.
func (s *slowdown) current(now time.Time) float64 {
	at := s.updatedAt.Load()
	if at == 0 {
		return 1
	}
	age := now.UnixNano() - at
	if age >= int64(slowdownTTL) {
		return 1
	}
	factor := math.Float64frombits(s.slowness.Load()) / math.Float64frombits(s.baseline.Load())
	if factor < minSlowdown {
		return 1
	}
	weight := 1 - float64(max(age, 0))/float64(slowdownTTL)
	return 1 + weight*(min(factor, maxSlowdown)-1)
}

// ReportSlowness records the slowness that the backend server reports at now: the time that
// work takes on the host, as a multiple of the time that it takes on a reference host; above 0.
func (g *Gate) ReportSlowness(slowness float64, now time.Time) { g.slowdown.observe(slowness, now) }

// Slowdown returns the factor by which work takes longer than usual on the host at now; 1 for
// none, or without a recent report of the backend server.
func (g *Gate) Slowdown(now time.Time) float64 { return g.slowdown.current(now) }

// shouldReroute reports whether a request should be refused so that its entry node sends it to
// another backend server: the host has a slowdown, and the request would be served sooner
// elsewhere.
func (g *Gate) shouldReroute(r Request, now time.Time) bool {
	if !r.Reroutable {
		return false
	}
	slowdown := g.slowdown.current(now)
	if slowdown == 1 {
		return false
	}
	times := g.serviceTimes.Of(r.Work)
	usual := times.average()
	return times.slowed(usual, slowdown)-usual >= minRerouteGain
}
