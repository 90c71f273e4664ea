package balance

import (
	"math"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
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
	// Unreachable is a request that didn't get to the server's host. It is a
	// failure of the server, and tells of the way into its zone besides.
	Unreachable
)

// Result is what a request told about its server.
type Result struct {
	// Latency is the time from sending to the answer's first byte.
	Latency time.Duration
	// Outcome is how the request ended.
	Outcome Outcome
	// Load is the reported load; nil when there was no report.
	Load *Load
	// Work is the request's sort of work: a server is compared with others by
	// what they take for the same sort.
	Work model.Work
	// Typical is the time that the server's requests of this sort take on
	// average, as its gate reports; 0 when there was no report. It tells more
	// than Latency, which is one request's: where there are many servers a node
	// sees each of them seldom.
	Typical time.Duration
}

// Done ends the request. It must be called exactly once for each Choice.
func (c Choice) Done(now time.Time, r Result) {
	at := now.UnixNano()
	own := c.server.inFlight.Add(-1) + 1
	if r.Load != nil {
		c.server.report(*r.Load, own, at)
		if r.Load.Slowdown > 0 && !c.group.stats.uneven.Load() {
			c.group.stats.uneven.Store(true)
		}
		average(&c.group.stats.load, float64(r.Load.Used+r.Load.Queued)/float64(r.Load.Slots), groupGain)
	}
	c.noteWay(&r, at)
	switch {
	case r.Outcome == OK:
		c.succeeded(&r, at)
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
	return r.Outcome == Failed || r.Outcome == Unreachable
}

// noteWay notes whether the server's host was reached: a load comes from there.
func (c Choice) noteWay(r *Result, at int64) {
	switch {
	case r.Outcome == Unreachable:
		c.picker.zones.of(c.Record.Zone).missed(&c.picker.cfg, c.Record.Node, at)
	case r.Load != nil:
		c.picker.zones.of(c.Record.Zone).reached()
	}
}

func (c Choice) succeeded(r *Result, at int64) {
	cfg, s := &c.picker.cfg, c.server
	if c.trial {
		s.restore(at)
	}
	c.noteLatency(r, at)
	s.inRow.Store(0)
	average(&s.failureRate, 0, cfg.FailureGain)
	countUpTo(&s.results, cfg.MinSamples)
}

// groupGain is the weight of one new value in a group's averages.
const groupGain = 0.02

// priorLatencies is the number of latencies that the group's average stands
// for in a server's own one, so that the first few don't decide alone.
const priorLatencies = 3

// typicalGain is the weight of a reported average in a server's own one: it is
// one over many requests already.
const typicalGain = 0.5

// maxLatencies is the number from which latencies are no longer counted.
const maxLatencies = 1000

// noteLatency compares what a request took with what the group takes for such
// work.
func (c Choice) noteLatency(r *Result, at int64) {
	s, g := c.server, c.group.stats.latency.Of(r.Work)
	n := s.latencies.Load()
	took, gain := r.Latency, max(c.picker.cfg.LatencyGain, 1/float64(n+1+priorLatencies))
	if r.Typical > 0 {
		took, gain = r.Typical, typicalGain
	}
	v := math.Log2(float64(max(took, 1)))
	if g.seen.CompareAndSwap(false, true) {
		storeFloat(&g.mean, v)
	}
	average(&g.mean, v, max(groupGain, 1/float64(g.count.Load()+1))) // plain mean of the first values
	countUpTo(&g.count, maxLatencies)
	average(&s.latency, v-floatOf(&g.mean), gain)
	countUpTo(&s.latencies, maxLatencies)
	s.latencyAt.Store(at)
	c.updateFastSet()
}

// updateFastSet adds the server to the recently fast ones if its latency is below the
// average, and removes it otherwise.
func (c Choice) updateFastSet() {
	members, fast := c.group.tiers[c.member.tier], &c.group.fastSet[c.member.tier]
	switch {
	case len(members) < c.picker.cfg.FastMinTier:
	case floatOf(&c.server.latency) < 0:
		fast.add(c.member, members, c.picker.rand.IntN(fastSetSize))
	default:
		fast.remove(c.member)
	}
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
