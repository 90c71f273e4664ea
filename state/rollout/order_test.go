package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/store"
)

// in returns an entry whose order was written by a transaction of an epoch.
func in(epoch, transaction uint64, target string, phase Phase) Entry {
	return entry(store.InEpoch(epoch, transaction), target, phase)
}

// copied returns e marked as read in an epoch that may be later than that of its write.
func copied(e Entry) Entry {
	e.Order.Copied = true
	return e
}

// After the store was restored from an older copy, an order that the operators rewrite or
// that the copy holds neither restarts a roll-out nor revokes its verdict. Any other order
// of the next epoch replaces the held one.
func TestOrderReadInTheNextEpoch(t *testing.T) {
	held := in(1, 9, "v3", Reverted)
	for name, c := range map[string]struct {
		read   Entry
		target string
		phase  Phase
	}{
		"written again":                                {in(2, 7, "v3", Pending), "v3", Reverted},
		"written again, under a higher revision":       {in(2, 12, "v3", Pending), "v3", Reverted},
		"in the copy":                                  {copied(in(2, 9, "v3", Pending)), "v3", Reverted},
		"a former order in the copy":                   {copied(in(2, 5, "v2", Pending)), "v3", Reverted},
		"another order of the feed":                    {in(2, 7, "v4", Pending), "v4", Pending},
		"another order, read whole":                    {copied(in(2, 10, "v4", Pending)), "v4", Pending},
		"the same one again in the same epoch":         {in(1, 10, "v3", Pending), "v3", Pending},
		"a former order of an epoch that isn't copied": {in(1, 5, "v2", Pending), "v3", Reverted},
	} {
		t.Run(name, func(t *testing.T) {
			for order, entries := range map[string][]Entry{"read later": {held, c.read}, "read first": {c.read, held}} {
				table := NewTable()
				for _, e := range entries {
					table.Merge(begin, e)
				}
				e, _ := table.Get(begin, "s")
				must.Eq(t, c.target, e.Order.Target, must.Sprint(order))
				must.Eq(t, c.phase, e.Phase, must.Sprint(order))
			}
		})
	}
}

// The operators may rewrite an order that the restored copy holds. After rewriteWindow, an
// order for the same version is a new one.
func TestEqualOrderIsARewriteOnlyForALimitedTime(t *testing.T) {
	for after, want := range map[time.Duration]Phase{time.Second: Reverted, rewriteWindow: Pending} {
		table := NewTable()
		table.Merge(begin, in(1, 9, "v3", Reverted))
		table.Merge(begin, copied(in(2, 9, "v3", Pending)))
		table.Merge(begin.Add(after), in(2, 20, "v3", Pending))
		e, _ := table.Get(begin.Add(after), "s")
		must.Eq(t, want, e.Phase)
		must.Eq(t, store.InEpoch(2, 20), e.Order.Revision)
	}
}

// The epoch in which the store holds one phase doesn't apply to another phase.
func TestKeptEpochBelongsToThePhase(t *testing.T) {
	kept := func(epoch uint64, phase Phase) Entry {
		e := in(1, 9, "v3", phase)
		e.StoredEpoch = epoch
		return e
	}
	table := NewTable()
	must.True(t, table.Merge(begin, kept(1, Reverted)))
	must.False(t, table.Merge(begin, kept(2, Canary)))
	must.True(t, table.Merge(begin.Add(time.Second), kept(2, Reverted)))
	must.False(t, table.Merge(begin, kept(1, Reverted)))
	e, _ := table.Get(begin, "s")
	must.Eq(t, 2, e.StoredEpoch)
}
