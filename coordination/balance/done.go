package balance

import (
	"math"
	"time"
)

// Outcome is how a request to a picked server ended, as far as it tells about
// the server.
type Outcome uint8

// The outcomes.
const (
	// OK is a whole answer.
	OK Outcome = iota
	// Failed is a broken connection, a timeout or an answer that tells of a
	// broken server.
	Failed
	// NotRun is a refusal. With a load report it tells of overload or a
	// drain; without one the gate did not answer, which counts as a failure.
	NotRun
	// Cancelled is a request that the caller gave up; it tells nothing.
	Cancelled
)

// Result is what a request told about its server.
type Result struct {
	// Latency is the time from sending to the answer's first byte.
	Latency time.Duration
	// Outcome is how the request ended.
	Outcome Outcome
	// Load is the reported load; nil when there was no report.
	Load *Load
}

// groupGainDivisor bounds how much slower a group's average latency moves than
// that of one of its servers.
const groupGainDivisor = 30

// Done ends the request. It must be called exactly once for each Choice.
func (c Choice) Done(now time.Time, r Result) {
	at := now.UnixNano()
	own := c.server.inFlight.Add(-1) + 1
	if r.Load != nil {
		c.server.report(*r.Load, own, at)
	}
	switch {
	case r.Outcome == OK:
		c.succeeded(r.Latency, at)
	case r.Outcome == Failed, r.Outcome == NotRun && r.Load == nil:
		c.failed(at)
	case r.Outcome == NotRun:
		c.server.refusedUntil.Store(at + int64(c.picker.cfg.RefusedFor))
		c.endTrial()
	default:
		c.endTrial()
	}
}

func (c Choice) succeeded(latency time.Duration, at int64) {
	cfg, s := &c.picker.cfg, c.server
	if c.trial {
		s.restore(at)
	}
	v := math.Log2(float64(max(latency, 1)))
	seed(&s.latency, s.latencies.Load() == 0, v, cfg.LatencyGain)
	seed(c.group.latency, floatOf(c.group.latency) == 0, v, cfg.LatencyGain/float64(min(c.group.size, groupGainDivisor)))
	s.latencyAt.Store(at)
	countUpTo(&s.latencies, cfg.MinSamples)
	s.inRow.Store(0)
	average(&s.failureRate, 0, cfg.FailureGain)
	countUpTo(&s.results, cfg.MinSamples)
}

func (c Choice) failed(at int64) {
	cfg, s := &c.picker.cfg, c.server
	row := s.inRow.Add(1)
	average(&s.failureRate, 1, cfg.FailureGain)
	countUpTo(&s.results, cfg.MinSamples)
	rate := s.results.Load() >= cfg.MinSamples && floatOf(&s.failureRate) >= cfg.FailureRate
	switch {
	case c.trial:
		c.picker.ejectFurther(s, at)
	case row >= cfg.Failures || rate:
		c.picker.eject(c.group, s, at)
	}
}

// endTrial lets another trial through when this one told nothing.
func (c Choice) endTrial() {
	if c.trial {
		c.server.trialSince.Store(0)
	}
}
