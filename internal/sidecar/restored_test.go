package sidecar

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

// restoreTime is how long after a restore nothing is written again any more: a feed's wait,
// the spread of the writes and a retry.
const restoreTime = 6 * time.Second

// logged reports whether all nodes have logged a text.
func (f *fleet) logged(text string) bool {
	for _, m := range f.nodes {
		if !strings.Contains(m.logs.String(), text) {
			return false
		}
	}
	return true
}

// registered counts the nodes whose address stands in the store.
func (f *fleet) registered() int {
	n := 0
	for _, m := range f.nodes {
		if f.store.Row("nodes", "addr/"+string(m.node.set.Node)) != nil {
			n++
		}
	}
	return n
}

// restore lets the store go back to a copy while it is away for a moment.
func (f *fleet) restore(to *platformtest.Copy) {
	f.store.SetDown(true)
	f.store.Restore(to)
	f.store.SetDown(false)
}

// After a restore the feed waited for a revision that the store hadn't reached again, and
// what nodes had written stayed gone.
func TestNodesGoOnAfterTheStoreCameBackFromACopy(t *testing.T) {
	f := newSilentFleet(t, 12) // four of each zone read the store
	old := f.store.Snapshot()
	f.beat()
	f.knowAll()
	f.eventually("all are registered", func() bool { return f.registered() == len(f.nodes) })
	leaving := f.nodes[4]
	must.NoError(t, leaving.backend.Beat(leaving.node.set.Listen.Backend, leaving.addr, true))
	f.eventually("the drain is recorded", func() bool { return f.store.Row("nodes", "drain/node-4") != nil })
	for _, version := range []string{"r2", "r3"} {
		f.store.Put("op", "config", routes(version))
	}
	f.eventually("the newest version is in force", func() bool { return f.logged("event=config_applied version=3") })

	before := f.store.Calls(platformtest.OpTransact)
	f.restore(old)
	f.eventually("the nodes' rows are back", func() bool { return f.registered() == len(f.nodes) })
	must.True(t, f.logged("event=store_restored life=3"), must.Sprint("nodes that don't read the store learn of it"))
	f.eventually("the drain is back", func() bool { return f.store.Row("nodes", "drain/node-4") != nil })
	f.store.Put("op", "config", routes("r4"))
	f.eventually("a version with a lower revision is in force", func() bool { return f.logged("event=config_applied version=4") })
	time.Sleep(restoreTime)
	must.Eq(t, before+len(f.nodes), f.store.Calls(platformtest.OpTransact), must.Sprint("each node writes once"))
	for _, m := range f.nodes {
		logs := m.logs.String()
		after := logs[strings.Index(logs, "event=store_restored"):]
		must.StrNotContains(t, after, "event=config_applied version=1", must.Sprint("an older version is not put in force"))
	}
}

// A store that goes back without a word about it leads to no writes.
func TestNothingIsWrittenAgainWhereNoEraIsTold(t *testing.T) {
	f := newSilentFleetOn(t, 4, 0)
	f.beat()
	f.knowAll()
	f.eventually("all are registered", func() bool { return f.registered() == len(f.nodes) })
	old := f.store.Snapshot()
	f.store.Put("op", "config", routes("r2"))
	f.eventually("the version is in force", func() bool { return f.logged("event=config_applied version=2") })
	before := f.store.Calls(platformtest.OpTransact)
	f.restore(old)
	// The next version gets a revision that no reader has seen: one that is given out twice
	// without a word can't be told apart.
	f.store.Put("other", "row", []byte("x"))
	f.store.Put("op", "config", routes("r3"))
	f.eventually("the next version is in force", func() bool { return f.logged("event=config_applied version=3") })
	time.Sleep(restoreTime)
	must.Eq(t, before, f.store.Calls(platformtest.OpTransact))
	for _, m := range f.nodes {
		must.StrNotContains(t, m.logs.String(), "store_restored")
	}
}

// A verdict that the store has lost is there again, and stands when the operators write
// their order again.
func TestVerdictOutlastsARestore(t *testing.T) {
	f := rolloutFleet(t, 2, 2, 8, nil)
	f.eventually("the roll-out runs", func() bool { return f.rolloutState() == "running" })
	old := f.store.Snapshot()
	f.load("/status/x", "reverted", "succeeded")
	must.Eq(t, "succeeded", f.rolloutState())
	f.restore(old)
	must.Eq(t, "running", f.rolloutState())
	f.eventually("the verdict is back", func() bool { return f.rolloutState() == "succeeded" })
	f.store.Put("op", "rollout/booking", []byte(`{"service":"booking","target":"v2","durationS":8}`))
	time.Sleep(restoreTime)
	must.Eq(t, "succeeded", f.rolloutState())
	before := f.ran("")
	for range 50 {
		f.do(f.nodes[0], "GET", "/status/x", "")
	}
	must.Eq(t, before, f.ran(""), must.Sprint("the old version gets nothing"))
}
