package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/restore"
	"github.com/jacinthgate/jacinthgate/state/rollout"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// Epochs of the store in these tests.
const firstEpoch, secondEpoch = 1, 2

// restoreStore restores the store in secondEpoch, with the given entry or without a row, and
// reports that to some nodes.
func (f *fleet) restoreStore(held *rollout.Entry, nodes ...int) {
	f.store.epoch, f.store.writes = secondEpoch, 0
	f.store.held, f.store.revision = nil, 0
	if held != nil {
		copied := *held
		copied.StoredEpoch = secondEpoch
		f.store.held, f.store.revision = &copied, store.InEpoch(secondEpoch, 1)
	}
	for _, i := range nodes {
		f.step(i, restore.Restored{Epoch: secondEpoch})
	}
	f.deliver()
}

// orderInEpoch delivers an order that has a revision of the given epoch to a node.
func (f *fleet) orderInEpoch(at int, target string, copied bool, epoch, transaction uint64) {
	f.step(at, Ordered{Order: rollout.Order{
		Service: svc, Target: target, Revision: store.InEpoch(epoch, transaction), Duration: 20 * time.Second, Copied: copied,
	}})
	f.deliver()
}

// sound behaves like the old version.
func sound(time.Duration, workload) version { return version{} }

// endedRollout returns a fleet after a whole roll-out in firstEpoch.
func endedRollout(t *testing.T, behaviour func(time.Duration, workload) version) *fleet {
	f := newFleet(t, 3, 8, 8)
	f.behaviour = behaviour
	f.store.epoch = firstEpoch
	f.orderInEpoch(0, "v2", false, firstEpoch, 30)
	f.run(25 * time.Second)
	must.NotNil(t, f.store.held)
	must.True(t, f.store.held.Phase.Final())
	return f
}

// A verdict that the store lost in a restore is written again unchanged, by one node, as soon
// as one node learns of the restore. The order, written again by the operators, doesn't begin
// anew.
func TestVerdictIsToldAgainAndStands(t *testing.T) {
	bad := func(time.Duration, workload) version { return version{fails: 0.5} }
	for name, c := range map[string]struct {
		behaviour func(time.Duration, workload) version
		want      rollout.Phase
		copied    bool
		maxWrites int
	}{
		"reverted, the row is gone":            {bad, rollout.Reverted, false, 2},
		"succeeded, the row is gone":           {sound, rollout.Succeeded, false, 2},
		"reverted, the copy holds it running":  {bad, rollout.Reverted, true, 4},
		"succeeded, the copy holds it running": {sound, rollout.Succeeded, true, 4},
	} {
		t.Run(name, func(t *testing.T) {
			f := endedRollout(t, c.behaviour)
			must.Eq(t, c.want, f.store.held.Phase)
			var held *rollout.Entry
			if c.copied {
				running := *f.store.held
				running.Phase, running.Reason = rollout.Canary, ""
				held = &running
			}
			f.restoreStore(held, 2, 3, 11)
			reached := f.exposed
			f.orderInEpoch(5, "v2", false, secondEpoch, 9)
			f.run(10 * time.Second)
			must.NotNil(t, f.store.held)
			must.Eq(t, c.want, f.store.held.Phase)
			must.Between(t, 1, f.store.writes, c.maxWrites)
			for _, m := range f.nodes {
				must.Eq(t, c.want, f.phases[m.record.Node])
			}
			if c.want == rollout.Reverted {
				must.Eq(t, reached, f.exposed, must.Sprint("requests to a reverted version"))
			}
		})
	}
}

// While the restored store doesn't answer, one node after the other attempts the write, and
// the verdict is written as soon as the store answers.
func TestVerdictIsToldAgainWhenTheStoreAnswers(t *testing.T) {
	f := endedRollout(t, sound)
	f.storeDown = true
	f.restoreStore(nil, 0, 1, 2, 3)
	f.run(5 * time.Second)
	must.Nil(t, f.store.held)
	f.storeDown = false
	f.run(3 * time.Second)
	must.NotNil(t, f.store.held)
	must.Eq(t, rollout.Succeeded, f.store.held.Phase)
}

// The store refuses a write that expects a row revision of a former epoch. The node then
// discards that revision, and its next write returns the present row.
func TestOutdatedRevisionIsNotUsedAgain(t *testing.T) {
	c := New(Config{}, "n", 1, 1)
	now := time.Unix(1_000_000, 0)
	e := rollout.Entry{Order: rollout.Order{Service: svc, Target: "v2", Revision: store.InEpoch(1, 5), Duration: time.Minute}, Phase: rollout.Stopped}
	c.Step(now, Learned{Entries: []rollout.Entry{e}})
	c.rollouts[svc].rowRevision = store.InEpoch(1, 6)
	c.rollouts[svc].writing = true
	c.Step(now, Recorded{Service: svc, Err: &noAnswer{}, Outdated: true})
	must.Eq(t, 0, c.rollouts[svc].rowRevision)
	must.False(t, c.rollouts[svc].writing)
}

// A restored copy may hold an order that a later one had replaced. Reading it begins no
// roll-out.
func TestFormerOrderInTheCopyBeginsNothing(t *testing.T) {
	f := endedRollout(t, sound)
	f.restoreStore(nil, 0)
	f.orderInEpoch(0, "v1", true, secondEpoch, 12)
	f.run(8 * time.Second) // the only node that has learnt of the restore waits for its turn
	must.Eq(t, "v2", f.store.held.Order.Target)
	must.Eq(t, rollout.Succeeded, f.store.held.Phase)
	f.storeDown = true // check only what the nodes hold
	f.orderInEpoch(0, "v3", false, secondEpoch, 13)
	f.run(time.Second)
	e, _ := f.nodes[7].core.table.Get(f.now, svc)
	must.Eq(t, "v3", e.Order.Target, must.Sprint("an order of the next epoch replaces it"))
}

// Without a restore, each phase is written to the store once only.
func TestNothingIsRewrittenWithoutARestore(t *testing.T) {
	f := endedRollout(t, sound)
	writes := f.store.writes
	f.run(20 * time.Second)
	must.Eq(t, writes, f.store.writes)
}
