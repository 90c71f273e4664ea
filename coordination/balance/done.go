package balance

import (
	"math"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Outcome is how a request to a picked server ended, reduced to what it implies for the
// health of the server.
type Outcome uint8

// The outcomes of a request.
const (
	// OK is a complete response.
	OK Outcome = iota
	// Failed is a broken connection, a timeout or a response that indicates a fault of
	// the server.
	Failed
	// NotRun is a refusal by the server or its gate. If the load report shows all slots
	// in use, the refusal is due to overload. Otherwise it counts as a failure: the gate
	// did not respond, is draining, or reports a wrong load.
	NotRun
	// Cancelled is a request that the caller gave up, or that was refused for a reason
	// of its own such as its deadline. It implies nothing about the server.
	Cancelled
	// Unreachable is a request that didn't reach the server's host. It counts as a
	// failure of the server and towards marking its zone as unreachable.
	Unreachable
)

// Result is the result of a request, from which the picker updates its statistics of the
// server.
type Result struct {
	// Latency is the time from sending the request to the first byte of the response.
	Latency time.Duration
	// Outcome is how the request ended.
	Outcome Outcome
	// Load is the load that the server's gate reported; nil without a report.
	Load *Load
	// Work is the request's workload. The latencies of servers are compared only within
	// the same workload.
	Work model.Work
	// MeanServiceTime is the mean service time of this workload at the server, as reported
	// by its gate; 0 without a report. Where it is given it replaces Latency, the value of a
	// single request: with many servers, a node sends too few requests to each of them for
	// an average of its own.
	MeanServiceTime time.Duration
	// Hold is the time for which the server certainly accepts no further request; 0 if it may.
	// It gets none meanwhile.
	Hold time.Duration
}

// Done ends the request and updates the statistics of its server and zone. It must be
// called exactly once for each Choice.
func (c Choice) Done(now time.Time, r Result) {
	at := now.UnixNano()
	inFlight := c.server.inFlight.Add(-1) + 1
	if r.Load != nil {
		c.server.applyReport(*r.Load, inFlight, at)
		if r.Load.Slowdown > 0 && !c.group.stats.slowdownReported.Load() {
			c.group.stats.slowdownReported.Store(true)
		}
		if c.member.reduced() {
			c.server.sentAt.Store(at)
			c.group.stats.reduced.Store(true)
		}
		updateAverage(&c.group.stats.load, float64(r.Load.Used+r.Load.Queued)/float64(r.Load.Slots), groupGain)
	}
	if r.Hold > 0 {
		c.server.hold.Store(&hold{instance: c.Record.Instance, until: at + int64(r.Hold)})
	}
	c.recordReachability(&r, at)
	switch {
	case r.Outcome == OK:
		c.recordSuccess(&r, at)
	case r.countsAsFailure():
		c.recordFailure(at)
	default:
		c.endTrial()
	}
}

// countsAsFailure reports whether the result counts as a failure of the server: a failed
// request, or a refusal although the load report, if there is one, shows free slots.
func (r *Result) countsAsFailure() bool {
	if r.Outcome == NotRun {
		return r.Load == nil || r.Load.Used < r.Load.Slots
	}
	return r.Outcome == Failed || r.Outcome == Unreachable
}

// recordReachability records for the server's zone whether the request reached its host.
// A load report proves that it did.
func (c Choice) recordReachability(r *Result, at int64) {
	switch {
	case r.Outcome == Unreachable:
		c.picker.zones.get(c.Record.Zone).recordUnreachable(&c.picker.cfg, c.Record.Node, at)
	case r.Load != nil:
		c.picker.zones.get(c.Record.Zone).recordReached()
	}
}

// recordSuccess records a complete response, which ends an ejection if the request was the
// trial.
func (c Choice) recordSuccess(r *Result, at int64) {
	cfg, s := &c.picker.cfg, c.server
	if c.trial {
		s.restore(at)
	}
	c.recordLatency(r, at)
	s.consecutiveFailures.Store(0)
	updateAverage(&s.failureRate, 0, cfg.FailureGain)
	incrementUpTo(&s.resultCount, cfg.MinSamples)
}

// groupGain is the smoothing factor of a group's averages.
const groupGain = 0.02

// priorLatencies is the weight of the group's average as the initial value of a server's
// latency average, in number of latencies. It keeps the first few latencies from
// determining the average alone.
const priorLatencies = 3

// reportedGain is the smoothing factor for a mean latency that a gate reports. It is large
// because the reported value is already an average over many requests.
const reportedGain = 0.5

// maxLatencies bounds the counters of latencies.
const maxLatencies = 1000

// recordLatency updates the group's mean latency of the request's workload, and the
// server's moving average of its latency relative to that mean.
func (c Choice) recordLatency(r *Result, at int64) {
	s, g := c.server, c.group.stats.latency.Of(r.Work)
	n := s.latencyCount.Load()
	took, gain := r.Latency, max(c.picker.cfg.LatencyGain, 1/float64(n+1+priorLatencies))
	if r.MeanServiceTime > 0 {
		took, gain = r.MeanServiceTime, reportedGain
	}
	v := math.Log2(float64(max(took, 1)))
	if g.seen.CompareAndSwap(false, true) {
		storeFloat(&g.mean, v)
	}
	updateAverage(&g.mean, v, max(groupGain, 1/float64(g.count.Load()+1))) // the arithmetic mean of the first values
	incrementUpTo(&g.count, maxLatencies)
	updateAverage(&s.relativeLatency, v-floatOf(&g.mean), gain)
	incrementUpTo(&s.latencyCount, maxLatencies)
	s.latencyAt.Store(at)
	c.updateFastSet()
}

// updateFastSet adds the server to its tier's fast set if its latency is below the group's
// mean, and removes it otherwise. Tiers below Config.FastMinTier have no fast set.
func (c Choice) updateFastSet() {
	members, fast := c.group.tiers[c.member.tier], &c.group.fastSet[c.member.tier]
	switch {
	case len(members) < c.picker.cfg.FastMinTier:
	case floatOf(&c.server.relativeLatency) < 0:
		fast.add(c.member, members, c.picker.rand.IntN(fastSetSize))
	default:
		fast.remove(c.member)
	}
}

// recordFailure records a failure of the server. It ejects the server after too many
// consecutive failures or at too high a failure rate, and extends the ejection if the
// request was the trial.
func (c Choice) recordFailure(at int64) {
	cfg, s := &c.picker.cfg, c.server
	consecutive := s.consecutiveFailures.Add(1)
	updateAverage(&s.failureRate, 1, cfg.FailureGain)
	incrementUpTo(&s.resultCount, cfg.MinSamples)
	rateExceeded := s.resultCount.Load() >= cfg.MinSamples && floatOf(&s.failureRate) >= cfg.FailureRate
	switch {
	case c.trial:
		c.picker.extendEjection(s, at)
	case consecutive >= cfg.ConsecutiveFailures || rateExceeded:
		c.picker.eject(c.group, s, at)
	}
}

// endTrial ends a trial without a verdict on the server, so that another one can start at
// once.
func (c Choice) endTrial() {
	if c.trial {
		c.server.trialSince.Store(0)
	}
}
