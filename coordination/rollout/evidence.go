package rollout

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/rollout"
)

// reporter identifies one incarnation of a node that reports its counts.
type reporter struct {
	node        model.NodeID
	incarnation uint64
}

// series holds the reports of one reporter: the last one, and snapshots of earlier ones as
// baselines for the recent window.
type series struct {
	last      rollout.Report
	snapshots []snapshot // oldest first
}

// snapshot holds the tallies of an earlier report and when the next one replaced it.
type snapshot struct {
	at      time.Time
	tallies []rollout.Tally
}

// evidence holds the reports received in one roll-out.
type evidence struct {
	series map[reporter]*series
}

func newEvidence() *evidence { return &evidence{series: make(map[reporter]*series)} }

// maxSeries is the maximum number of reporters whose counts are held.
const maxSeries = 512

// merge adds a report and reports whether it is new.
func (e *evidence) merge(now time.Time, r rollout.Report) bool {
	k := reporter{r.Reporter, r.Incarnation}
	s := e.series[k]
	switch {
	case s == nil && len(e.series) >= maxSeries:
		return false
	case s == nil:
		s = &series{snapshots: []snapshot{{at: now}}}
		e.series[k] = s
	case r.Sequence <= s.last.Sequence:
		return false
	case r.Version != s.last.Version:
		s.snapshots = []snapshot{{at: now}}
	default:
		s.snapshots = append(s.snapshots, snapshot{at: now, tallies: s.last.Tallies})
	}
	s.last = r
	return true
}

// trim drops the snapshots older than the recent window, except for the newest of them, which
// is the baseline of the window.
func (s *series) trim(now time.Time) {
	for len(s.snapshots) > 1 && now.Sub(s.snapshots[1].at) >= recentWindow {
		s.snapshots = s.snapshots[1:]
	}
}

// comparisons returns the counts of both versions for each workload: over the whole roll-out
// or, if recent is set, within the recent window.
func (e *evidence) comparisons(now time.Time, target string, recent bool) map[model.Work]*Comparison {
	all := make(map[model.Work]*Comparison)
	for _, s := range e.series {
		tallies := s.last.Tallies
		if recent {
			s.trim(now)
			tallies = countedSince(tallies, s.snapshots[0].tallies)
		}
		for i := range tallies {
			addTally(all, &tallies[i], s.last.Version == target)
		}
	}
	return all
}

func addTally(all map[model.Work]*Comparison, t *rollout.Tally, target bool) {
	c := all[t.Work]
	if c == nil {
		c = &Comparison{Work: t.Work}
		all[t.Work] = c
	}
	if !target {
		c.Base.Add(t)
		return
	}
	var s Sample
	s.Add(t)
	c.Target = append(c.Target, s)
}

// finding is a fault, with the comparison that shows it.
type finding struct {
	fault Fault
	*Comparison
}

// findFault returns the first fault in the order of workloads: over the whole roll-out or, if
// there is none, within the recent window. The result has NoFault if neither shows one.
func (e *evidence) findFault(now time.Time, target string) finding {
	for _, recent := range [...]bool{false, true} {
		var first finding
		for w, c := range e.comparisons(now, target, recent) {
			if f := c.Judge(); f != NoFault && (first.fault == NoFault || compareWork(w, first.Work) < 0) {
				first = finding{fault: f, Comparison: c}
			}
		}
		if first.fault != NoFault {
			return first
		}
	}
	return finding{}
}

// progress counts the answers of both versions so far.
type progress struct {
	// answers is the number of the new version's answers, and repeatable the number of those
	// to repeatable requests.
	answers, repeatable int
	// base and baseRepeatable are the old version's numbers.
	base, baseRepeatable int
	// workMissing is set if the new version has too few answers for a workload that is in use
	// at the old version.
	workMissing bool
}

func (e *evidence) progress(now time.Time, target string) progress {
	var p progress
	for w, c := range e.comparisons(now, target, false) {
		answers := 0
		for i := range c.Target {
			answers += c.Target[i].Answers
		}
		p.answers += answers
		p.base += c.Base.Answers
		if w.Kind.Repeatable() {
			p.repeatable += answers
			p.baseRepeatable += c.Base.Answers
		}
		p.workMissing = p.workMissing || c.Base.Answers >= inUseAnswers && answers < minWorkAnswers
	}
	return p
}

// allowsNonRepeatable reports whether the canary may receive non-repeatable requests: after
// enough answers to repeatable ones, or if the service has no repeatable ones.
func (p *progress) allowsNonRepeatable() bool {
	return p.repeatable >= minRepeatableAnswers || p.base >= inUseAnswers && p.baseRepeatable == 0
}

// enough reports whether the new version has enough answers for all requests to be shifted.
// If the shift is overdue, few answers suffice, and none are required of a service that is
// hardly in use.
func (p *progress) enough(overdue bool) bool {
	if overdue {
		return p.answers >= minWorkAnswers || p.base < inUseAnswers
	}
	return p.answers >= minShiftAnswers && !p.workMissing
}
