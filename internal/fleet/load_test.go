package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/load"
	"github.com/jacinthgate/jacinthgate/internal/standin/backend"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// fault is one failure that callers go through.
type fault struct {
	name       string
	begin, end func(t *testing.T, f *Fleet)
}

// The parts of the fleet that fail.
const (
	badZone = "csepel"
	badNode = 3
)

// faulty sets the platform's faults.
func faulty(change func(*platformtest.Faults)) func(*testing.T, *Fleet) {
	return func(t *testing.T, f *Fleet) {
		faults := platformtest.DefaultFaults()
		change(&faults)
		platformFaults(t, f, faults)
	}
}

func kill(_ *testing.T, f *Fleet)        { f.Members[badNode].KillNode() }
func revive(t *testing.T, f *Fleet)      { must.NoError(t, f.Members[badNode].StartNode()) }
func returnHerd(t *testing.T, f *Fleet)  { restart(t, zoneMembers(f, badZone)...) }
func cutZone(_ *testing.T, f *Fleet)     { f.CutZone(badZone, true) }
func healZone(_ *testing.T, f *Fleet)    { f.HealZone(badZone) }
func cutPlatform(_ *testing.T, f *Fleet) { f.CutPlatform() }
func healBoth(t *testing.T, f *Fleet)    { f.HealPlatform(); healthy(t, f) }
func healthy(t *testing.T, f *Fleet)     { faulty(func(*platformtest.Faults) {})(t, f) }
func freeze(t *testing.T, f *Fleet)      { must.NoError(t, f.Members[badNode].FreezeNode()) }
func thaw(t *testing.T, f *Fleet)        { must.NoError(t, f.Members[badNode].ThawNode()) }

// both joins two steps.
func both(a, b func(*testing.T, *Fleet)) func(*testing.T, *Fleet) {
	return func(t *testing.T, f *Fleet) { a(t, f); b(t, f) }
}

var (
	slow  = faulty(func(p *platformtest.Faults) { p.Delay = model.Duration(700 * time.Millisecond) })
	lossy = faulty(func(p *platformtest.Faults) { p.LoseAnswers = 0.3 })
	down  = faulty(func(p *platformtest.Faults) { p.Down = true })
)

// faults are in the order in which they come.
var faults = []fault{
	{"kill", kill, revive},
	{"herd", returnHerd, healthy},
	{"zone cut", cutZone, healZone},
	{"platform cut", cutPlatform, healBoth},
	{"platform down", down, healthy},
	{"platform slow", slow, healthy},
	{"answers lost", lossy, healthy},
	{"freeze past the lease while answers are lost", both(lossy, freeze), both(healthy, thaw)},
	{"herd returns while the platform is down", both(down, returnHerd), healthy},
	{"kill while a zone is cut off", both(cutZone, kill), both(healZone, revive)},
}

// underFault is how long callers go through one fault; a freeze takes longer
// than a lease.
func underFault(name string) time.Duration {
	if name == "freeze past the lease while answers are lost" {
		return 6 * time.Second
	}
	return 1500 * time.Millisecond
}

// Callers read and book through every node, repeating half the bookings at two
// nodes at once, while one fault follows another. Answers are whole and their
// own, no key runs twice, and what is called not-run was not run. A backend
// server that drains gets nothing new all the while. After each fault, all nodes
// answer again; at last operators race.
func TestPromisesUnderFaults(t *testing.T) {
	f := start(t, hosts(6), relayed)
	c := first(t, f)
	for _, m := range f.Members {
		post(t, m.BackendURL()+"/faults", backend.Faults{ServiceMillis: 20, SpreadMillis: 30})
	}
	allAnswer(t, f)
	drained := f.Members[5]
	post(t, drained.LocalURL()+"/drain", nil)
	stop := callers(t, f.Members, f.Members, screens(100), bookings(20))
	time.Sleep(noticed)
	before := runs(t, drained).Total
	for _, fault := range faults {
		ran := ranInZones(t, f)
		fault.begin(t, f)
		time.Sleep(underFault(fault.name))
		eventually(t, "answers during "+fault.name, func() bool { return ranInZones(t, f) > ran })
		fault.end(t, f)
		allAnswer(t, f)
	}
	race(t, c, f.Members[:3]...)
	allAnswer(t, f)
	r := stop()
	must.Eq(t, before, runs(t, drained).Total)
	must.True(t, r.RunsChecked)
	for _, c := range r.Cells {
		must.Positive(t, c.Labels[load.LabelAnswered])
		must.Positive(t, c.Labels[load.LabelNotRun])
	}
	must.True(t, slices.ContainsFunc(r.Cells, func(c load.Cell) bool { return c.Replayed > 0 }))
}

// allAnswer waits until every node answers a read.
func allAnswer(t *testing.T, f *Fleet) {
	t.Helper()
	for _, m := range f.Members {
		eventually(t, "answers through "+string(m.Node), func() bool {
			out, _ := ask(m, "/rooms/1")
			return out == outcome.Answered
		})
	}
}

// ranInZones sums up what the backend servers ran.
func ranInZones(t *testing.T, f *Fleet) int {
	t.Helper()
	n := 0
	for _, m := range f.Members {
		n += runs(t, m).Total
	}
	return n
}
