package rollout

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/perwork"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/rollout"
)

// Meter counts the outcomes and durations of the requests that the host's backend server
// runs. It is safe for concurrent use.
type Meter struct {
	counts perwork.Map[counts]
}

type counts struct {
	answers, failed atomic.Uint32
	times           [rollout.Buckets]atomic.Uint32
}

// Answered counts a request that was run, and its duration. A backend server that is cold
// after its start is slow whatever its version, so its durations aren't counted.
func (m *Meter) Answered(w model.Work, took time.Duration, cold bool) {
	c := m.counts.Of(w)
	c.answers.Add(1)
	if !cold {
		c.times[rollout.Bucket(took)].Add(1)
	}
}

// Failed counts a request that the backend server failed.
func (m *Meter) Failed(w model.Work) {
	c := m.counts.Of(w)
	c.answers.Add(1)
	c.failed.Add(1)
}

// Tallies returns all counts, in order of the workloads.
func (m *Meter) Tallies() []rollout.Tally {
	var all []rollout.Tally
	m.counts.Each(func(w model.Work, c *counts) {
		// Load the failures first, so that a request counted concurrently can't make them
		// exceed the answers.
		t := rollout.Tally{Work: w, Failed: c.failed.Load()}
		t.Answers = c.answers.Load()
		t.Times = make([]uint32, rollout.Buckets)
		for i := range c.times {
			t.Times[i] = c.times[i].Load()
		}
		all = append(all, t)
	})
	slices.SortFunc(all, func(a, b rollout.Tally) int { return compareWork(a.Work, b.Work) })
	return all
}

func compareWork(a, b model.Work) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Target, b.Target))
}

// countedSince returns what was counted after an earlier reading. Workloads without new
// answers are left out.
func countedSince(now, earlier []rollout.Tally) []rollout.Tally {
	out := make([]rollout.Tally, 0, len(now))
	for i := range now {
		t := now[i]
		t.Times = slices.Clone(t.Times)
		for j := range earlier {
			if earlier[j].Work == t.Work {
				subtract(&t, &earlier[j])
			}
		}
		if t.Answers > 0 {
			out = append(out, t)
		}
	}
	return out
}

// subtract subtracts an earlier reading from a tally. A tally with fewer answers than the
// earlier one has been reset and stays as it is.
func subtract(t, earlier *rollout.Tally) {
	if earlier.Answers > t.Answers {
		return
	}
	t.Answers -= earlier.Answers
	t.Failed -= min(earlier.Failed, t.Failed)
	for i := range t.Times {
		if i < len(earlier.Times) {
			t.Times[i] -= min(earlier.Times[i], t.Times[i])
		}
	}
}
