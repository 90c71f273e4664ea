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
	// NotRun is a refusal by the server or its gate. With a report of full
	// slots it tells of overload. Without one it counts as a failure: the
	// gate did not answer, drains, or reports what is not so.
	NotRun
	// Cancelled is a request that the caller gave up or that was refused for
	// a reason of its own, such as its deadline; it tells nothing.
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

// Done ends the request. It must be called exactly once for each Choice.
func (c Choice) Done(now time.Time, r Result) {
	at := now.UnixNano()
	own := c.server.inFlight.Add(-1) + 1
	if r.Load != nil {
		c.server.report(*r.Load, own, at)
		average(&c.group.stats.load, float64(r.Load.Used+r.Load.Queued)/float64(r.Load.Slots), groupGain)
	}
	switch {
	case r.Outcome == OK:
		c.succeeded(r.Latency, at)
	case r.faulty():
		c.failed(at)
	default:
		c.endTrial()
	}
}

// faulty reports whether the result counts against the server: a failure, or a
// refusal that the server's own report doesn't explain.
func (r *Result) faulty() bool {
	if r.Outcome == NotRun {
		return r.Load == nil || r.Load.Used < r.Load.Slots
	}
	return r.Outcome == Failed
}

func (c Choice) succeeded(latency time.Duration, at int64) {
	cfg, s := &c.picker.cfg, c.server
	if c.trial {
		s.restore(at)
	}
	c.noteLatency(latency, at)
	s.inRow.Store(0)
	average(&s.failureRate, 0, cfg.FailureGain)
	countUpTo(&s.results, cfg.MinSamples)
}

// groupGain is the weight of one new value in a group's averages.
const groupGain = 0.02

// priorLatencies is the number of latencies that the group's average stands
// for in a server's own one, so that the first few don't decide alone.
const priorLatencies = 3

// maxLatencies is the number from which latencies are no longer counted.
const maxLatencies = 1000

func (c Choice) noteLatency(latency time.Duration, at int64) {
	s, g := c.server, c.group.stats
	v := math.Log2(float64(max(latency, 1)))
	if g.latencies.CompareAndSwap(0, 1) {
		storeFloat(&g.latency, v)
	}
	average(&g.latency, v, groupGain)
	n := s.latencies.Load()
	if n == 0 {
		storeFloat(&s.latency, floatOf(&g.latency))
	}
	gain := max(c.picker.cfg.LatencyGain, 1/float64(n+1+priorLatencies))
	average(&s.latency, v, gain)
	countUpTo(&s.latencies, maxLatencies)
	s.latencyAt.Store(at)
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
