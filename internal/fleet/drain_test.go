package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/load"
	"github.com/jacinthgate/jacinthgate/internal/standin/backend"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// noticed is how long after a drain new requests may still arrive.
const noticed = 3 * time.Second

// total sums up how the requests of all classes ended.
func total(r load.Result, label load.Label) int {
	n := 0
	for _, c := range r.Cells {
		n += c.Labels[label]
	}
	return n
}

// takesNoWork checks that a backend server is given nothing new once a drain
// was noticed, while the others are.
func takesNoWork(t *testing.T, m *Member, others ...*Member) {
	t.Helper()
	time.Sleep(noticed)
	before := runs(t, m)
	for _, other := range others {
		was := runs(t, other).Total
		eventually(t, string(other.Node)+" works on", func() bool { return runs(t, other).Total > was+10 })
	}
	after := runs(t, m)
	must.Eq(t, before.Total, after.Total)
	must.Eq(t, before.Shed, after.Shed)
}

// slotsUsed reads how many requests run at a backend server.
func slotsUsed(t *testing.T, m *Member) int {
	t.Helper()
	var l backend.Load
	must.NoError(t, json.Unmarshal(call(t, http.MethodGet, m.BackendURL()+"/load", nil), &l))
	return l.Used
}

// slowPath takes so long that its requests are in flight when a drain starts.
const slowPath = "/rooms/slow"

// A drain is told to one node only, and again while the zone is cut off; the
// drained server is killed at last. Load runs from all nodes.
func TestDrain(t *testing.T) {
	f := start(t, hosts(9), relayed)
	first(t, f)
	leaving, same, far := f.Members[0], f.Members[3], f.Members[1]
	must.Eq(t, leaving.Zone, same.Zone)
	for _, m := range f.Members {
		post(t, m.BackendURL()+"/faults", backend.Faults{ServiceMillis: 2, PathMillis: map[string]float64{slowPath: 700}})
		eventually(t, "answers through "+string(m.Node), func() bool {
			out, _ := ask(m, "/rooms/1")
			return out == outcome.Answered
		})
	}
	stop := callers(t, f.Members, f.Members, screens(150))
	eventually(t, "the server works", func() bool { return runs(t, leaving).Total > 10 })

	slow := screens(15)
	slow.Name, slow.Path = "slow", slowPath
	stopSlow := callers(t, []*Member{leaving, same}, f.Members, slow)
	eventually(t, "slow requests are in flight at the server", func() bool { return slotsUsed(t, leaving) >= 2 })
	drain := func(on bool) {
		must.NoError(t, far.Operator().Drain(context.Background(), &operator.DrainRequest{Node: leaving.Node, Drain: on}))
	}
	drain(true)
	r := stopSlow()
	must.Eq(t, r.Cells[0].Sent, total(r, load.LabelAnswered)) // whole, those in flight too
	takesNoWork(t, leaving, far)

	drain(false)
	was := runs(t, leaving).Total
	eventually(t, "the server works again", func() bool { return runs(t, leaving).Total > was+10 })
	f.CutZone(leaving.Zone, false)
	post(t, leaving.LocalURL()+"/drain", nil)
	takesNoWork(t, leaving, same, far) // from callers on either side
	f.HealZone(leaving.Zone)
	takesNoWork(t, leaving, far)

	r = stop()
	must.Eq(t, 0, total(r, load.LabelCut)+total(r, load.LabelFailed))
	leaving.KillBackend()
	stop = callers(t, f.Members, f.Members[1:], screens(100))
	time.Sleep(noticed)
	r = stop()
	must.Eq(t, r.Cells[0].Sent, total(r, load.LabelAnswered))
}

// A node is terminated, another is killed and a third is frozen, all under
// load, while the platform loses answers. Nothing in flight at the terminated
// node is cut, no key runs twice, and what is called not-run was not run.
func TestNodesEndUnderLoad(t *testing.T) {
	f := start(t, hosts(6), relayed)
	first(t, f)
	terminated, killed, frozen, watcher := f.Members[1], f.Members[3], f.Members[5], f.Members[0]
	for _, m := range f.Members {
		post(t, m.BackendURL()+"/faults", backend.Faults{ServiceMillis: 20, SpreadMillis: 30})
		eventually(t, "answers through "+string(m.Node), func() bool {
			out, _ := ask(m, "/rooms/1")
			return out == outcome.Answered
		})
	}
	once := bookings(20)
	once.Repeats = 0 // a repeat that meets its first request is told unknown
	stop := callers(t, f.Members, f.Members, screens(120), once)
	eventually(t, "the node's server works", func() bool { return runs(t, terminated).Total > 10 })
	withdrawn := make(chan bool, 1)
	go func() { withdrawn <- withdrawnWhileAlive(watcher, terminated) }()
	must.True(t, terminated.TerminateNode(deadline))
	must.True(t, <-withdrawn)
	r := stop()
	must.Eq(t, 0, total(r, load.LabelCut)+total(r, load.LabelUnknown)+total(r, load.LabelTimeout))
	for _, c := range r.Cells { // a caller that finds nobody listening was certainly not served
		must.Eq(t, c.Labels[load.LabelFailed], c.Reasons["connection-dial"], must.Sprint(c.Reasons))
	}

	stop = callers(t, f.Members, f.Members, screens(120), bookings(20))
	loseAnswers(t, f, 0.2)
	time.Sleep(time.Second)
	killed.KillNode()
	must.NoError(t, frozen.FreezeNode())
	time.Sleep(2 * noticed) // longer than a lease
	must.NoError(t, frozen.ThawNode())
	must.NoError(t, killed.StartNode())
	time.Sleep(time.Second)
	loseAnswers(t, f, 0)
	r = stop()
	must.Positive(t, total(r, load.LabelAnswered))
	must.Positive(t, total(r, load.LabelNotRun)+total(r, load.LabelFailed))
	must.True(t, r.RunsChecked)
}

// withdrawnWhileAlive waits until the node's endpoint is withdrawn, as the
// watcher knows it, and reports false when the node's process ended first.
func withdrawnWhileAlive(watcher, m *Member) bool {
	for m.Alive() {
		s, err := watcher.Operator().Status(context.Background())
		if err != nil {
			continue
		}
		for _, n := range s.Nodes {
			if n.Node == m.Node && n.Draining {
				return m.Alive()
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
