package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/restore"
	"github.com/jacinthgate/jacinthgate/state/rollout"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// lives of the store in these tests.
const firstLife, secondLife = 1, 2

// restored lets the store come back with what it held, and tells some nodes.
func (f *fleet) restored(held *rollout.Entry, nodes ...int) {
	f.store.life, f.store.writes = secondLife, 0
	f.store.held, f.store.revision = nil, 0
	if held != nil {
		copied := *held
		copied.Kept = secondLife
		f.store.held, f.store.revision = &copied, store.InLife(secondLife, 1)
	}
	for _, i := range nodes {
		f.step(i, restore.Restored{Life: secondLife})
	}
	f.deliver()
}

// ordered lets a node read an order in a life.
func (f *fleet) ordered(at int, target string, copied bool, life, transaction uint64) {
	f.step(at, Ordered{Order: rollout.Order{
		Service: svc, Target: target, Revision: store.InLife(life, transaction), Duration: 20 * time.Second, Copied: copied,
	}})
	f.deliver()
}

// good is a version as the old one.
func good(time.Duration, sort) version { return version{} }

// ended plays a roll-out of the first life to its end.
func ended(t *testing.T, behaves func(time.Duration, sort) version) *fleet {
	f := newFleet(t, 3, 8, 8)
	f.behaves = behaves
	f.store.life = firstLife
	f.ordered(0, "v2", false, firstLife, 30)
	f.run(25 * time.Second)
	must.NotNil(t, f.store.held)
	must.True(t, f.store.held.Phase.Final())
	return f
}

// A verdict that the store has lost is told again as it was: by one node, as soon as one
// node knows, and the order that the operators write again doesn't begin anew.
func TestVerdictIsToldAgainAndStands(t *testing.T) {
	bad := func(time.Duration, sort) version { return version{fails: 0.5} }
	for name, c := range map[string]struct {
		behaves func(time.Duration, sort) version
		want    rollout.Phase
		copied  bool
		most    int
	}{
		"reverted, the row is gone":        {bad, rollout.Reverted, false, 2},
		"succeeded, the row is gone":       {good, rollout.Succeeded, false, 2},
		"reverted, the copy says running":  {bad, rollout.Reverted, true, 4},
		"succeeded, the copy says running": {good, rollout.Succeeded, true, 4},
	} {
		t.Run(name, func(t *testing.T) {
			f := ended(t, c.behaves)
			must.Eq(t, c.want, f.store.held.Phase)
			var held *rollout.Entry
			if c.copied {
				running := *f.store.held
				running.Phase, running.Reason = rollout.Canary, ""
				held = &running
			}
			f.restored(held, 2, 3, 11)
			reached := f.exposed
			f.ordered(5, "v2", false, secondLife, 9)
			f.run(10 * time.Second)
			must.NotNil(t, f.store.held)
			must.Eq(t, c.want, f.store.held.Phase)
			must.Between(t, 1, f.store.writes, c.most)
			for _, m := range f.nodes {
				must.Eq(t, c.want, f.phases[m.record.Node])
			}
			if c.want == rollout.Reverted {
				must.Eq(t, reached, f.exposed, must.Sprint("the version gets nothing"))
			}
		})
	}
}

// While the store doesn't answer, one node after the other tries, and the verdict is told
// when it does.
func TestVerdictIsToldAgainWhenTheStoreAnswers(t *testing.T) {
	f := ended(t, good)
	f.away = true
	f.restored(nil, 0, 1, 2, 3)
	f.run(5 * time.Second)
	must.Nil(t, f.store.held)
	f.away = false
	f.run(3 * time.Second)
	must.NotNil(t, f.store.held)
	must.Eq(t, rollout.Succeeded, f.store.held.Phase)
}

// A node told the store with a revision of the former life: the write isn't made, and the
// next one asks what there is.
func TestOutdatedRevisionIsNotUsedAgain(t *testing.T) {
	c := New(Config{}, "n", 1, 1)
	now := time.Unix(1_000_000, 0)
	e := rollout.Entry{Order: rollout.Order{Service: svc, Target: "v2", Revision: store.InLife(1, 5), Duration: time.Minute}, Phase: rollout.Stopped}
	c.Step(now, Learned{Entries: []rollout.Entry{e}})
	c.runs[svc].row = store.InLife(1, 6)
	c.runs[svc].writing = true
	c.Step(now, Recorded{Service: svc, Err: &noAnswer{}, Outdated: true})
	must.Eq(t, 0, c.runs[svc].row)
	must.False(t, c.runs[svc].writing)
}

// An order that the former order's version has replaced may be in the copy: it is no news.
func TestFormerOrderInTheCopyBeginsNothing(t *testing.T) {
	f := ended(t, good)
	f.restored(nil, 0)
	f.ordered(0, "v1", true, secondLife, 12)
	f.run(8 * time.Second) // the only node that knows waits for its turn
	must.Eq(t, "v2", f.store.held.Order.Target)
	must.Eq(t, rollout.Succeeded, f.store.held.Phase)
	f.away = true // only what nodes know is looked at
	f.ordered(0, "v3", false, secondLife, 13)
	f.run(time.Second)
	e, _ := f.nodes[7].core.table.Get(f.now, svc)
	must.Eq(t, "v3", e.Order.Target, must.Sprint("an order of the next life is news"))
}

// A store that never came back is told of each phase once, as ever.
func TestNothingIsToldAgainWithoutARestore(t *testing.T) {
	f := ended(t, good)
	writes := f.store.writes
	f.run(20 * time.Second)
	must.Eq(t, writes, f.store.writes)
}
