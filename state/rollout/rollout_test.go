package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var begin = time.Unix(1_000_000, 0)

func entry(revision uint64, target string, phase Phase) Entry {
	return Entry{Order: Order{Service: "s", Target: target, Revision: revision, Duration: time.Minute}, Phase: phase}
}

// A node that was disconnected may receive the next order before the success of the one
// before it. It must not reject the version that serves all requests: its entry would
// make all other nodes reject it too.
func TestSucceededVersionIsNotRejectedWhenItsSuccessArrivesLate(t *testing.T) {
	table := NewTable()
	table.Merge(begin, entry(1, "v2", Canary))
	table.Merge(begin, entry(2, "v3", Canary))
	e, _ := table.Get(begin, "s")
	must.SliceEmpty(t, e.Rejected)
	table.Merge(begin, entry(1, "v2", Succeeded))
	e, _ = table.Get(begin, "s")
	must.SliceEmpty(t, e.Rejected)
}

// The entry that the store held when an order replaced it is final: a version that had
// not succeeded by then never will.
func TestReplacedVersionIsRejected(t *testing.T) {
	for phase, want := range map[Phase][]string{Canary: {"v2"}, Reverted: {"v2"}, Succeeded: nil} {
		table := NewTable()
		table.Merge(begin, entry(2, "v3", Pending))
		table.Replaced(entry(1, "v2", phase))
		e, _ := table.Get(begin, "s")
		must.Eq(t, want, e.Rejected)
	}
}

// Tables that merge the same entries, in any order and any number of times, are equal.
func TestMergesInAnyOrder(t *testing.T) {
	targets := []string{"v2", "v3", "v4"}
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			i := rapid.IntRange(0, len(targets)-1).Draw(t, "order")
			return entry(uint64(i+1), targets[i], Phase(rapid.IntRange(0, int(Succeeded)).Draw(t, "phase")))
		}), 1, 12).Draw(t, "entries")
		a, b := NewTable(), NewTable()
		for _, e := range all {
			a.Merge(begin, e)
		}
		for _, e := range rapid.Permutation(all).Draw(t, "other order") {
			b.Merge(begin, e)
			b.Merge(begin, e)
		}
		x, _ := a.Get(begin, "s")
		y, _ := b.Get(begin, "s")
		must.Eq(t, x.Order, y.Order)
		must.Eq(t, x.Phase, y.Phase)
	})
}
