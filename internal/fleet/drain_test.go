package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/load"
	"github.com/jacinthgate/jacinthgate/internal/standin/backend"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
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
	}
	allAnswer(t, f)
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

// Nodes are terminated under load, some of it slow: while nothing else fails,
// while the platform is down, just after another node was killed, and while a
// zone is cut off. Each one's endpoint is withdrawn before its process ends, and
// nothing in flight is cut.
func TestShutdownCutsNothing(t *testing.T) {
	f := start(t, hosts(9), relayed)
	first(t, f)
	for _, m := range f.Members {
		post(t, m.BackendURL()+"/faults", backend.Faults{ServiceMillis: 20, SpreadMillis: 30, PathMillis: map[string]float64{slowPath: 1200}})
	}
	allAnswer(t, f)
	shutDown(t, f, f.Members[1], true)
	down(t, f)
	shutDown(t, f, f.Members[2], true)
	healthy(t, f)
	f.Members[4].KillNode()
	shutDown(t, f, f.Members[6], false)
	f.CutZone("obuda", true)
	shutDown(t, f, f.Members[3], false)
}

// shutDown terminates a node under load. certain says that nothing else fails
// that may leave a request's outcome unknown.
func shutDown(t *testing.T, f *Fleet, m *Member, certain bool) {
	t.Helper()
	watcher := f.Members[0]
	once := bookings(20)
	once.Repeats, once.Retries = 0, 1 // a repeat that meets its first request is told unknown
	slow := screens(15)
	slow.Name, slow.Path, slow.Retries = "slow", slowPath, 0
	running := slices.DeleteFunc(slices.Clone(f.Members), func(m *Member) bool { return !m.Alive() })
	stop := callers(t, running, f.Members, screens(120), once)
	stopSlow := callers(t, []*Member{m}, f.Members, slow)
	before := runs(t, m).Total
	eventually(t, "the node's server works", func() bool { return runs(t, m).Total > before+10 })
	known := serving(watcher, m.Zone, m.Service)
	withdrawn := make(chan bool, 1)
	go func() { withdrawn <- withdrawnWhileAlive(watcher, m, known-1) }()
	must.True(t, m.TerminateNode(deadline))
	must.True(t, <-withdrawn)
	for _, r := range []load.Result{stop(), stopSlow()} {
		must.Eq(t, 0, total(r, load.LabelCut))
		must.True(t, !certain || total(r, load.LabelUnknown)+total(r, load.LabelTimeout) == 0)
		for _, c := range r.Cells { // a caller that finds nobody listening was certainly not served
			must.Eq(t, c.Labels[load.LabelFailed], c.Reasons["connection-dial"], must.Sprint(c.Reasons))
		}
	}
}

// withdrawnWhileAlive waits until the node's endpoint does not count as serving
// any more, as the watcher knows it, and reports false when the node's process
// ended first.
func withdrawnWhileAlive(watcher, m *Member, others int) bool {
	for m.Alive() {
		if serving(watcher, m.Zone, m.Service) == others {
			return m.Alive()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// serving returns how many backend servers serve in a zone, as a node knows it;
// -1 when it does not answer.
func serving(m *Member, zone model.Zone, service string) int {
	s, err := m.Operator().Status(context.Background())
	if err != nil {
		return -1
	}
	for _, e := range s.Endpoints {
		if e.Zone == zone && e.Service == service {
			return e.Serving
		}
	}
	return 0
}
