package evacuation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/evacuation"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// world is a network of nodes on a ring with chords. Messages are delivered in order and may be
// lost.
type world struct {
	now   time.Time
	cores []*Core
	zones [][]model.Zone // the evacuated zones that each node last reported
	links map[[2]int]bool
	sent  int // number of messages sent, lost ones included
	lose  func(from, to int) bool
}

func newWorld(n int) *world {
	w := &world{now: time.Unix(1000, 0), links: make(map[[2]int]bool), lose: func(int, int) bool { return false }}
	for i := range n {
		w.cores = append(w.cores, New(uint64(i)))
		w.zones = append(w.zones, nil)
	}
	for i := range n {
		w.link(i, (i+1)%n)
		w.link(i, (i*7+n/2)%n)
	}
	return w
}

func name(i int) model.NodeID { return model.NodeID(fmt.Sprint(i)) }

func (w *world) link(a, b int) {
	if a == b || w.links[[2]int{a, b}] {
		return
	}
	w.links[[2]int{a, b}], w.links[[2]int{b, a}] = true, true
	w.step(a, core.PeerUp{Record: endpoint.Record{Node: name(b)}})
	w.step(b, core.PeerUp{Record: endpoint.Record{Node: name(a)}})
}

// step passes an event to a node and delivers the messages that result.
func (w *world) step(at int, ev core.Event) {
	type delivery struct {
		to int
		ev core.Event
	}
	queue := []delivery{{at, ev}}
	for len(queue) > 0 {
		d := queue[0]
		queue = queue[1:]
		for _, a := range w.cores[d.to].Step(w.now, d.ev) {
			switch a := a.(type) {
			case Changed:
				w.zones[d.to] = a.Zones
			case core.Send:
				var to int
				fmt.Sscan(string(a.To), &to)
				w.sent++
				if w.links[[2]int{d.to, to}] && !w.lose(d.to, to) {
					queue = append(queue, delivery{to, core.Received{From: name(d.to), Message: a.Message}})
				}
			}
		}
	}
}

// wait advances the time; each node gets a tick every 100 ms.
func (w *world) wait(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(100 * time.Millisecond) {
		for i := range w.cores {
			w.step(i, core.Tick{})
		}
	}
}

// all reports whether each node holds exactly these zones as evacuated.
func (w *world) all(zones ...model.Zone) bool {
	for _, z := range w.zones {
		if fmt.Sprint(z) != fmt.Sprint(zones) {
			return false
		}
	}
	return true
}

// order returns an order to evacuate a zone, or a cancellation if active is false.
func order(zone model.Zone, revision uint64, active bool) evacuation.Order {
	return evacuation.Order{Zone: zone, Revision: revision, Active: active}
}

func TestOrderAndItsCancellationReachAllNodes(t *testing.T) {
	for _, n := range []int{10, 1000} {
		w := newWorld(n)
		w.sent = 0
		w.step(3, Read{Orders: []evacuation.Order{order("b", 7, true)}})
		must.True(t, w.all("b"))
		must.LessEq(t, 4*n, w.sent, must.Sprint("at most once over each link"))
		w.step(5, Read{Orders: []evacuation.Order{order("a", 9, true)}})
		must.True(t, w.all("a", "b"))
		w.step(5, Read{Orders: []evacuation.Order{order("b", 11, false)}})
		must.True(t, w.all("a"))
		w.step(3, Read{Orders: []evacuation.Order{order("b", 7, true)}})
		must.True(t, w.all("a"), must.Sprint("an older order changes nothing"))
	}
}

// A node that has started or was partitioned receives the orders from any peer, and its lack of
// them doesn't cancel those of its peers.
func TestOrderReachesNodesAfterAPartition(t *testing.T) {
	w := newWorld(12)
	rnd := rand.New(rand.NewPCG(1, 2))
	w.lose = func(from, to int) bool { return from < 4 != (to < 4) || rnd.IntN(3) == 0 }
	w.step(6, Read{Orders: []evacuation.Order{order("b", 7, true)}})
	w.wait(20 * time.Second)
	for i, z := range w.zones {
		must.Eq(t, i < 4, len(z) == 0)
	}
	w.lose = func(int, int) bool { return false }
	w.wait(10 * time.Second)
	must.True(t, w.all("b"))
	w.cores[2], w.zones[2] = New(99), nil
	w.step(2, core.PeerUp{Record: endpoint.Record{Node: "1"}})
	w.step(1, core.PeerUp{Record: endpoint.Record{Node: "2"}})
	must.True(t, w.all("b"), must.Sprint("a restarted node"))
}

// The removal of a row may have been compacted away from the store's history: a whole read
// detects it.
func TestWholeReadCancelsWhatTheStoreNoLongerHolds(t *testing.T) {
	w := newWorld(5)
	w.step(0, Read{Orders: []evacuation.Order{order("a", 7, true), order("b", 8, true)}, WholeRevision: 8})
	must.True(t, w.all("a", "b"))
	w.step(1, Read{Orders: []evacuation.Order{order("b", 8, true)}, WholeRevision: 12})
	must.True(t, w.all("b"))
	w.step(1, Read{WholeRevision: 6})
	must.True(t, w.all("b"), must.Sprint("a stale read changes nothing"))
}

// A store restored from an older copy may lack the order until operators write it again. The
// evacuation must stay in force meanwhile.
func TestRestoredStoreDoesNotCancelAtOnce(t *testing.T) {
	w := newWorld(5)
	w.step(0, Read{Orders: []evacuation.Order{order("a", store.InEpoch(1, 70), true)}})
	w.step(0, Read{WholeRevision: store.InEpoch(2, 40)})
	w.wait(5 * time.Second)
	must.True(t, w.all("a"))
	w.step(1, Read{Orders: []evacuation.Order{order("a", store.InEpoch(2, 44), true)}})
	w.wait(20 * time.Second)
	must.True(t, w.all("a"), must.Sprint("written again"))
	w.step(0, Read{WholeRevision: store.InEpoch(3, 30)})
	w.wait(11 * time.Second)
	must.True(t, w.all(), must.Sprint("not written again"))
}

func TestOrdersFromPeersAreBounded(t *testing.T) {
	c := New(1)
	c.Step(time.Unix(1, 0), core.PeerUp{Record: endpoint.Record{Node: "1"}})
	for i := range 1000 {
		c.Step(time.Unix(1, 0), core.Received{From: "1", Message: &message.Evacuations{Orders: []evacuation.Order{
			order(model.Zone(fmt.Sprint(i)), 1, true), order("", 1, true), order("x", 0, true),
		}}})
	}
	must.Len(t, 256, c.table.All())
}
