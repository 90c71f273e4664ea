package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

const step = 50 * time.Millisecond

// world simulates the table service with one item, and nodes whose clocks run at
// different rates.
type world struct {
	t            must.T
	rng          *rand.Rand
	now          time.Duration // true time
	item         Item
	revision     uint64
	nodes        []*node
	inFlight     []*call
	lossPercent  int            // percentage of responses lost
	delay        time.Duration  // upper bound of the delay in each direction
	down         bool           // the table service fails all operations
	holderByTerm map[uint64]int // node that held the lease, by term
}

// node is a node with its own clock.
type node struct {
	core   *Core
	rate   float64       // of its clock relative to true time
	offset time.Duration // of its clock from true time, at the start
	paused bool
}

// call is a request in transit to the table, and then its response in transit to
// the node.
type call struct {
	node     int
	action   core.Action
	response core.Event
	at       time.Duration
}

func newWorld(t must.T, seed uint64, rates ...float64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 2)), delay: 20 * time.Millisecond, holderByTerm: make(map[uint64]int)}
	for i, rate := range rates {
		w.nodes = append(w.nodes, &node{rate: rate, offset: time.Duration(i) * time.Hour})
		w.restart(i, 1)
	}
	return w
}

func (w *world) restart(i int, incarnation uint64) {
	self := endpoint.Record{Node: model.NodeID(fmt.Sprint("host-", i)), Incarnation: incarnation}
	w.nodes[i].core = New(DefaultConfig(), self, w.rng.Uint64())
	w.step(i, Candidate{Contend: true})
}

// clock returns the present time of a node's clock.
func (w *world) clock(i int) time.Time {
	n := w.nodes[i]
	return time.Unix(0, 0).Add(n.offset + time.Duration(float64(w.now)*n.rate))
}

func (w *world) step(i int, ev core.Event) {
	for _, a := range w.nodes[i].core.Step(w.clock(i), ev) {
		w.inFlight = append(w.inFlight, &call{node: i, action: a, at: w.now + w.randomDelay()})
	}
}

func (w *world) randomDelay() time.Duration { return time.Duration(w.rng.Int64N(int64(w.delay))) }

// run advances the simulation by d.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += step {
		calls := w.inFlight
		w.inFlight = nil
		for _, c := range calls {
			w.advance(c)
		}
		for i, n := range w.nodes {
			if !n.paused {
				w.step(i, core.Tick{})
			}
		}
		w.check()
	}
}

// advance delivers a call that is due: the request to the table, or the response
// to the node unless that is paused.
func (w *world) advance(c *call) {
	switch {
	case c.at > w.now || (c.response != nil && w.nodes[c.node].paused):
		w.inFlight = append(w.inFlight, c)
	case c.response != nil:
		w.step(c.node, c.response)
	default:
		c.response = w.serve(c.action)
		c.at = w.now + w.randomDelay()
		if w.rng.IntN(100) >= w.lossPercent {
			w.inFlight = append(w.inFlight, c)
		}
	}
}

// serve performs an action on the table and returns the response.
func (w *world) serve(a core.Action) core.Event {
	switch a := a.(type) {
	case ReadItem:
		if w.down {
			return ItemRead{ID: a.ID, Err: downError{}}
		}
		return ItemRead{ID: a.ID, Item: w.item, Revision: w.revision}
	case WriteItem:
		if w.down {
			return Written{ID: a.ID, Result: WriteFailed}
		}
		if a.IfRevision != w.revision {
			return Written{ID: a.ID, Result: WriteRefused}
		}
		w.revision++
		w.item = a.Item
		if w.rng.IntN(100) < w.lossPercent {
			return Written{ID: a.ID, Result: WriteUnknown}
		}
		return Written{ID: a.ID, Result: WriteDone, Revision: w.revision}
	}
	return nil
}

// check fails if two nodes, paused ones included, hold the lease at the same
// time, or if two nodes have held it with the same term.
func (w *world) check() {
	if h := w.holders(); len(h) > 1 {
		w.t.Fatalf("two holders at %s: %v", w.now, h)
	}
	for _, i := range w.holders() {
		term := w.nodes[i].core.Term()
		if first, used := w.holderByTerm[term]; used {
			must.Eq(w.t, first, i, must.Sprintf("term %d", term))
		}
		w.holderByTerm[term] = i
	}
}

// holders returns the nodes that hold the lease by their own clocks.
func (w *world) holders() []int {
	var h []int
	for i, n := range w.nodes {
		if n.core.Held(w.clock(i)) {
			h = append(h, i)
		}
	}
	return h
}

func TestPausedHolderLapses(t *testing.T) {
	w := newWorld(t, 2, 1, 1)
	w.run(time.Minute)
	old := w.holders()[0]
	must.Eq(t, 1, w.item.Term, must.Sprint("the lease changed hands without a fault"))
	w.nodes[old].paused = true
	w.run(15 * time.Second)
	must.Eq(t, []int{1 - old}, w.holders())
	must.Greater(t, w.nodes[old].core.Term(), w.nodes[1-old].core.Term())
	w.nodes[old].paused = false
	w.run(10 * time.Second)
	must.Eq(t, []int{1 - old}, w.holders())
}

func TestReleaseHandsOverAtOnce(t *testing.T) {
	w := newWorld(t, 3, 1, 1)
	w.run(3 * time.Second)
	old := w.holders()[0]
	w.step(old, Candidate{Contend: false})
	must.SliceEmpty(t, w.holders())
	w.run(DefaultConfig().WatchInterval * 3 / 2)
	must.Eq(t, []int{1 - old}, w.holders())
}

func TestRestartedHolderWaitsForItsOwnLease(t *testing.T) {
	w := newWorld(t, 4, 1)
	w.run(time.Second)
	w.restart(0, 2)
	w.run(DefaultConfig().Duration)
	must.SliceEmpty(t, w.holders())
	w.run(3 * time.Second)
	must.Eq(t, 2, w.item.Term)
}

// at returns a time of the clock of a core that a test drives step by step.
func at(d time.Duration) time.Time { return time.Unix(100, 0).Add(d) }

// newCoreWithFirstWrite returns a core that sent its first write at time 0.
func newCoreWithFirstWrite() *Core {
	c := New(DefaultConfig(), endpoint.Record{Node: "host-0", Incarnation: 2}, 1)
	c.Step(at(0), Candidate{Contend: true})
	c.Step(at(0), ItemRead{ID: 1})
	return c
}

func TestLeaseCountsFromSending(t *testing.T) {
	c := newCoreWithFirstWrite()
	c.Step(at(5*time.Second), Written{ID: 2, Result: WriteDone, Revision: 1})
	must.True(t, c.Held(at(5900*time.Millisecond)))
	must.False(t, c.Held(at(6*time.Second)), must.Sprint("the lease was counted from the response"))
}

// TestLateWriteCountsFromItsSending lets a write with unknown result take effect
// after the read that should determine the result. The lease must not be counted
// from a later write.
func TestLateWriteCountsFromItsSending(t *testing.T) {
	c := newCoreWithFirstWrite()
	mine := Item{Holder: "host-0", Incarnation: 2, Term: 1}
	c.Step(at(2*time.Second), core.Tick{})
	a := c.Step(at(3*time.Second), ItemRead{ID: 3}) // the first write has not taken effect yet
	must.Eq(t, WriteItem{ID: 4, Item: mine}, a[0].(WriteItem))
	c.Step(at(3*time.Second), Written{ID: 4, Result: WriteUnknown})
	c.Step(at(4*time.Second), ItemRead{ID: 5, Revision: 1, Item: mine})
	must.True(t, c.Held(at(5900*time.Millisecond)))
	must.False(t, c.Held(at(6*time.Second)), must.Sprint("the lease was counted from the second write"))
}

func TestWriteOfEarlierIncarnationIsNotOwn(t *testing.T) {
	c := newCoreWithFirstWrite()
	c.Step(at(0), Written{ID: 2, Result: WriteUnknown})
	c.Step(at(0), ItemRead{ID: 3, Revision: 1, Item: Item{Holder: "host-0", Incarnation: 1, Term: 1}})
	must.False(t, c.Held(at(0)))
}

func TestTakeoverWaitsDurationAndMargin(t *testing.T) {
	c := New(DefaultConfig(), endpoint.Record{Node: "host-0"}, 1)
	c.Step(at(0), Candidate{Contend: true})
	id, wait := uint64(1), DefaultConfig().Duration+DefaultConfig().Margin
	for d := time.Duration(0); d <= wait; d += 100 * time.Millisecond {
		ev := core.Event(core.Tick{})
		if id != 0 {
			ev = ItemRead{ID: id, Revision: 9, Item: Item{Holder: "host-1", Term: 4}}
		}
		id = 0
		for _, a := range c.Step(at(d), ev) {
			switch a := a.(type) {
			case ReadItem:
				id = a.ID
			case WriteItem:
				must.Eq(t, wait, d, must.Sprint("the takeover came too early or too late"))
				must.Eq(t, 5, a.Item.Term)
				return
			}
		}
	}
	t.Fatal("the candidate did not take over")
}

// TestNeverTwoHolders pauses nodes, drops and delays responses and makes the
// table service fail, with clocks whose rates differ by less than Margin allows.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0.95, 1.05)
		w := newWorld(rt, rapid.Uint64().Draw(rt, "seed"), rate.Draw(rt, "a"), rate.Draw(rt, "b"), rate.Draw(rt, "c"))
		for range rapid.IntRange(1, 20).Draw(rt, "faults") {
			i := rapid.IntRange(0, 2).Draw(rt, "node")
			switch rapid.IntRange(0, 4).Draw(rt, "fault") {
			case 0:
				w.nodes[i].paused = !w.nodes[i].paused
			case 1:
				w.lossPercent = rapid.SampledFrom([]int{0, 30, 90}).Draw(rt, "lose")
			case 2:
				w.delay = rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 4 * time.Second}).Draw(rt, "delay")
			case 3:
				w.down = !w.down
			case 4:
				w.step(i, Candidate{Contend: rapid.Bool().Draw(rt, "contend")})
			}
			w.run(time.Duration(rapid.IntRange(0, 9000).Draw(rt, "ms")) * time.Millisecond)
		}
		w.lossPercent, w.down, w.delay = 0, false, 20*time.Millisecond
		for i, n := range w.nodes {
			n.paused = false
			w.step(i, Candidate{Contend: true})
		}
		w.run(25 * time.Second)
		must.Len(rt, 1, w.holders(), must.Sprint("not exactly one holder after the faults ended"))
	})
}

type downError struct{}

func (downError) Error() string { return "table is down" }
