package rollout

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/rollout"
)

// reporter names one start of a node that counts.
type reporter struct {
	node        model.NodeID
	incarnation uint64
}

// series are the reports of one start of a node: the last one, and earlier ones for
// what is recent.
type series struct {
	last  rollout.Report
	marks []mark // oldest first
}

// mark is a former report and when it came.
type mark struct {
	at      time.Time
	tallies []rollout.Tally
}

// evidence is what was counted in one roll-out.
type evidence struct {
	series map[reporter]*series
}

func newEvidence() *evidence { return &evidence{series: make(map[reporter]*series)} }

// maxSeries bounds the starts of nodes whose counts are held.
const maxSeries = 512

// merge takes a report and says whether it is news.
func (e *evidence) merge(now time.Time, r rollout.Report) bool {
	k := reporter{r.Reporter, r.Incarnation}
	s := e.series[k]
	switch {
	case s == nil && len(e.series) >= maxSeries:
		return false
	case s == nil:
		s = &series{marks: []mark{{at: now}}}
		e.series[k] = s
	case r.Sequence <= s.last.Sequence:
		return false
	case r.Version != s.last.Version:
		s.marks = []mark{{at: now}}
	default:
		s.marks = append(s.marks, mark{at: now, tallies: s.last.Tallies})
	}
	s.last = r
	return true
}

// age forgets the marks that lie before the window, but for the newest of them.
func (s *series) age(now time.Time) {
	for len(s.marks) > 1 && now.Sub(s.marks[1].at) >= window {
		s.marks = s.marks[1:]
	}
}

// comparisons returns what was counted for each sort of work: over the whole time, or
// within the window.
func (e *evidence) comparisons(now time.Time, target string, recent bool) map[model.Work]*Comparison {
	all := make(map[model.Work]*Comparison)
	for _, s := range e.series {
		tallies := s.last.Tallies
		if recent {
			s.age(now)
			tallies = since(tallies, s.marks[0].tallies)
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

// finding is what a comparison has found.
type finding struct {
	fault Fault
	*Comparison
}

// judge returns the first fault in order of the work; it has none where nothing is found.
func (e *evidence) judge(now time.Time, target string) finding {
	for _, recent := range [...]bool{false, true} {
		var worst finding
		for w, c := range e.comparisons(now, target, recent) {
			if f := c.Judge(); f != NoFault && (worst.fault == NoFault || compareWork(w, worst.Work) < 0) {
				worst = finding{fault: f, Comparison: c}
			}
		}
		if worst.fault != NoFault {
			return worst
		}
	}
	return finding{}
}

// progress is how much the new version has been tried.
type progress struct {
	// answers are all that it has given, and repeatable those to requests that may be
	// sent again.
	answers, repeatable int
	// base are the old version's.
	base, baseRepeatable int
	// untried says that a sort of work which the old version often does has had too few.
	untried bool
}

func (e *evidence) progress(now time.Time, target string) progress {
	var p progress
	for w, c := range e.comparisons(now, target, false) {
		tried := 0
		for i := range c.Target {
			tried += c.Target[i].Answers
		}
		p.answers += tried
		p.base += c.Base.Answers
		if w.Kind.Repeatable() {
			p.repeatable += tried
			p.baseRepeatable += c.Base.Answers
		}
		p.untried = p.untried || c.Base.Answers >= busyAnswers && tried < sortAnswers
	}
	return p
}

// trusted reports whether requests that can't be sent again are tried too.
func (p *progress) trusted() bool {
	return p.repeatable >= trustAnswers || p.base >= busyAnswers && p.baseRepeatable == 0
}

// enough reports whether the new version has been tried enough for all requests. In the
// end the little that there is has to do.
func (p *progress) enough(last bool) bool {
	if last {
		return p.answers >= sortAnswers || p.base < busyAnswers
	}
	return p.answers >= shiftAnswers && !p.untried
}
