package freshness

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

const (
	bound = 5 * time.Second
	// nodes stand in a row, each linked with the next: the middle one passes on.
	nodes = 3
)

// world is a store and a few cores whose events come in any order. Nothing in it is fair:
// messages and answers lie as long as the test likes, and come after restarts too.
type world struct {
	now   time.Duration // true time
	cores [nodes]*Core
	// starts makes each start's clock and stamps its own.
	starts uint64
	origin [nodes]time.Time
	// acked is when each version was acknowledged; shown is what reads show.
	acked []time.Duration
	shown uint64
	// life rises when the store comes back older, at restored.
	life     uint64
	restored time.Duration
	// blind nodes know no life of before: they can't tell that the store is older.
	blind  [nodes]bool
	reads  [nodes]read
	queues [nodes][nodes][]*message.Freshness
	// ageOnly makes receivers trust the time that messages are under way to be nothing.
	ageOnly bool
	// rate is how fast each node's clock runs, in parts of a million.
	rate [nodes]int64
}

// read is a read of the store that is under way.
type read struct {
	state   int // 0 for none, 1 begun, 2 served
	began   time.Time
	version uint64
	life    uint64
}

func id(i int) model.NodeID { return model.NodeID(fmt.Sprint("n", i)) }

// newWorld returns a world whose nodes hold version 1 and a proof of it. An life of 0 is
// that of a store that doesn't tell any.
func newWorld(life uint64) *world {
	w := &world{acked: []time.Duration{0, 0}, shown: 1, life: life}
	for i := range nodes {
		w.start(i)
	}
	for i := range nodes - 1 {
		w.link(i, i+1)
	}
	for _, a := range []action{serve, finish} {
		for i := range nodes {
			w.play(event{begin, i})
			w.play(event{a, i})
		}
	}
	for w.arrive() {
	}
	return w
}

// arrive delivers one message of each link and reports whether there was one.
func (w *world) arrive() bool {
	any := false
	for i := range nodes {
		any = w.play(event{right, i}) || any
		any = w.play(event{left, i}) || any
	}
	return any
}

func (w *world) start(i int) {
	w.starts++
	w.cores[i] = New(DefaultConfig(bound), w.starts)
	w.origin[i] = time.Unix(int64(1000*w.starts), 0)
	w.reads[i] = read{}
	w.blind[i] = w.missing()
	w.origin[i] = w.origin[i].Add(-w.now) // the clock goes on from anywhere
}

func (w *world) link(i, j int) {
	w.step(i, core.PeerUp{Record: endpoint.Record{Node: id(j), Incarnation: w.starts}})
	w.step(j, core.PeerUp{Record: endpoint.Record{Node: id(i), Incarnation: w.starts}})
}

// clock is a node's present moment.
func (w *world) clock(i int) time.Time {
	return w.origin[i].Add(w.now + w.now*time.Duration(w.rate[i])/1e6)
}

// truth is the true time of a node's moment.
func (w *world) truth(i int, m time.Time) time.Duration {
	d := m.Sub(w.origin[i])
	return d - d*time.Duration(w.rate[i])/1e6
}

func (w *world) step(i int, ev core.Event) {
	for _, a := range w.cores[i].Step(w.clock(i), ev) {
		if s, ok := a.(core.Send); ok {
			for j := range nodes {
				if id(j) == s.To {
					w.queues[i][j] = append(w.queues[i][j], s.Message.(*message.Freshness))
				}
			}
		}
	}
}

// broken returns a node whose proof covers a time at which a version that it lacks had
// been acknowledged, or -1.
func (w *world) broken() int {
	for i, c := range w.cores {
		lacking := c.held + 1
		if w.blind[i] || c.counted.moment.IsZero() || lacking >= uint64(len(w.acked)) {
			continue
		}
		if w.truth(i, c.counted.moment) > w.acked[lacking]+c.cfg.Margin {
			return i
		}
	}
	return -1
}

// missing reports whether the store lacks a version that was acknowledged.
func (w *world) missing() bool { return w.shown < uint64(len(w.acked))-1 }

// clone copies everything that events change.
func (w *world) clone() *world {
	n := *w
	n.acked = slices.Clone(w.acked)
	for i, c := range w.cores {
		k := *c
		k.waiting = slices.Clone(c.waiting)
		k.peers = maps.Clone(c.peers)
		for id, p := range k.peers {
			q := *p
			k.peers[id] = &q
		}
		n.cores[i] = &k
	}
	for i := range nodes {
		for j := range nodes {
			n.queues[i][j] = slices.Clone(w.queues[i][j])
		}
	}
	return &n
}

type action int

// The events of a world.
const (
	write   action = iota // an operator's write is acknowledged
	begin                 // a node begins a read
	serve                 // the store decides what the read shows
	finish                // the read's answer arrives
	tick                  // a node's Tick
	right                 // the oldest message to the next node arrives
	left                  // the oldest message to the one before arrives
	follow                // a node gets the next node's configuration
	lead                  // a node gets the configuration of the one before
	pause                 // 600 ms pass: nobody does anything
	freeze                // 3 s pass
	restart               // a node starts anew, and all its links
	relink                // a node's links end and come back
	older                 // the store comes back with its first version only
	back                  // operators' rows are back
)

// event is one action at one node.
type event struct {
	action action
	node   int
}

// play carries out an event. It reports false where the event can't happen.
func (w *world) play(e event) bool {
	i := e.node
	switch e.action {
	case write:
		if w.missing() {
			return false
		}
		w.acked = append(w.acked, w.now)
		w.shown++
	case begin:
		if w.reads[i].state != 0 {
			return false
		}
		w.reads[i] = read{state: 1, began: w.clock(i)}
	case serve:
		if w.reads[i].state != 1 {
			return false
		}
		w.reads[i].state, w.reads[i].version, w.reads[i].life = 2, w.shown, w.life
	case finish:
		return w.finish(i)
	case tick:
		w.step(i, core.Tick{})
	case right:
		return i+1 < nodes && w.deliver(i, i+1)
	case left:
		return i > 0 && w.deliver(i, i-1)
	case follow:
		return i+1 < nodes && w.copy(i+1, i)
	case lead:
		return i > 0 && w.copy(i-1, i)
	case pause:
		w.now += 600 * time.Millisecond
	case freeze:
		w.now += 3 * time.Second
	case restart:
		w.start(i)
		w.relink(i)
	case relink:
		w.relink(i)
	case older:
		if w.shown < 2 || w.missing() {
			return false
		}
		w.shown = 1
		if w.life > 0 {
			w.life++
		}
		w.restored = w.now
		for i, c := range w.cores {
			w.blind[i] = w.blind[i] || w.life > 0 && c.life == 0
		}
	case back:
		if !w.missing() {
			return false
		}
		w.shown = uint64(len(w.acked)) - 1
	}
	return true
}

func (w *world) finish(i int) bool {
	r := w.reads[i]
	if r.state != 2 {
		return false
	}
	w.reads[i] = read{}
	w.hold(i, r.version)
	w.step(i, Read{Began: r.began, Version: r.version, Life: r.life})
	return true
}

// hold puts a version in force, unless a newer one is.
func (w *world) hold(i int, version uint64) bool {
	if version <= w.cores[i].held {
		return false
	}
	w.step(i, InForce{Version: version})
	return true
}

func (w *world) copy(from, to int) bool { return w.hold(to, w.cores[from].held) }

func (w *world) deliver(from, to int) bool {
	q := w.queues[from][to]
	if len(q) == 0 {
		return false
	}
	w.queues[from][to] = q[1:]
	m := q[0]
	if w.ageOnly {
		m = w.trusted(from, to, m)
	}
	w.step(to, core.Received{From: id(from), Message: m})
	return true
}

// trusted rewrites a proof as a receiver would read it that takes a message to be as
// young as when it was sent.
func (w *world) trusted(from, to int, m *message.Freshness) *message.Freshness {
	p := w.cores[to].peers[id(from)]
	back := w.cores[from].peers[id(to)]
	if m.Version == 0 || p == nil || back == nil {
		return m
	}
	n := *m
	moment := back.arrived.Add(time.Duration(m.Offset) * time.Millisecond)
	age := w.cores[from].stamped(m.Stamp).Sub(moment) // when it was sent
	n.Echo = p.last
	n.Offset = (w.clock(to).Sub(w.cores[to].stamped(p.last)) - age).Milliseconds()
	return &n
}

func (w *world) relink(i int) {
	for _, j := range []int{i - 1, i + 1} {
		if j < 0 || j >= nodes {
			continue
		}
		w.step(i, core.PeerDown{Node: id(j)})
		w.step(j, core.PeerDown{Node: id(i)})
		w.link(i, j)
	}
}
