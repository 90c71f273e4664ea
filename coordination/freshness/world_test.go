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
	// nodes is the length of the chain, in which the middle node propagates proofs.
	nodes = 3
)

// world is a model of a store and a chain of cores whose events come in any order. Messages
// and responses may be delayed for any time, also past restarts.
type world struct {
	now   time.Duration // true time
	cores [nodes]*Core
	// starts counts the starts of nodes, so that each start has its own clock and stamps.
	starts uint64
	origin [nodes]time.Time
	// acked is when each version was acknowledged; shown is the version that reads return.
	acked []time.Duration
	shown uint64
	// epoch rises when the store is restored from an older copy, which last happened at
	// restored.
	epoch    uint64
	restored time.Duration
	// blind marks nodes that hold no epoch from before the restore and can't detect it.
	blind  [nodes]bool
	reads  [nodes]read
	queues [nodes][nodes][]*message.Freshness
	// ageOnly makes receivers take the transit time of messages to be zero.
	ageOnly bool
	// rate is the deviation of the rate of each node's clock, in parts per million.
	rate [nodes]int64
}

// read is the state of a read of the store.
type read struct {
	state   int // 0 for none, 1 begun, 2 served
	began   time.Time
	version uint64
	epoch   uint64
}

func id(i int) model.NodeID { return model.NodeID(fmt.Sprint("n", i)) }

// newWorld returns a world whose nodes hold version 1 and a proof of it. An epoch of 0 is
// that of a store without epochs.
func newWorld(epoch uint64) *world {
	w := &world{acked: []time.Duration{0, 0}, shown: 1, epoch: epoch}
	for i := range nodes {
		w.start(i)
	}
	for i := range nodes - 1 {
		w.link(i, i+1)
	}
	for _, a := range []action{serveRead, finishRead} {
		for i := range nodes {
			w.play(event{beginRead, i})
			w.play(event{a, i})
		}
	}
	for w.deliverEach() {
	}
	return w
}

// deliverEach delivers one message in each direction of each link. It reports whether there
// was any.
func (w *world) deliverEach() bool {
	delivered := false
	for i := range nodes {
		delivered = w.play(event{deliverNext, i}) || delivered
		delivered = w.play(event{deliverPrevious, i}) || delivered
	}
	return delivered
}

func (w *world) start(i int) {
	w.starts++
	w.cores[i] = New(DefaultConfig(bound), w.starts)
	w.origin[i] = time.Unix(int64(1000*w.starts), 0)
	w.reads[i] = read{}
	w.blind[i] = w.missing()
	w.origin[i] = w.origin[i].Add(-w.now) // each start begins at its own clock value
}

func (w *world) link(i, j int) {
	w.step(i, core.PeerUp{Record: endpoint.Record{Node: id(j), Incarnation: w.starts}})
	w.step(j, core.PeerUp{Record: endpoint.Record{Node: id(i), Incarnation: w.starts}})
}

// clock returns the present time of a node's clock.
func (w *world) clock(i int) time.Time {
	return w.origin[i].Add(w.now + w.now*time.Duration(w.rate[i])/1e6)
}

// trueTime converts a moment of a node's clock to true time.
func (w *world) trueTime(i int, m time.Time) time.Duration {
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

// violator returns a node whose proof covers a time at which a version that it lacks had
// been acknowledged; -1 if there is none.
func (w *world) violator() int {
	for i, c := range w.cores {
		lacking := c.held + 1
		if w.blind[i] || c.current.moment.IsZero() || lacking >= uint64(len(w.acked)) {
			continue
		}
		if w.trueTime(i, c.current.moment) > w.acked[lacking]+c.cfg.Margin {
			return i
		}
	}
	return -1
}

// missing reports whether the store lacks an acknowledged version.
func (w *world) missing() bool { return w.shown < uint64(len(w.acked))-1 }

// clone copies all state that events change.
func (w *world) clone() *world {
	n := *w
	n.acked = slices.Clone(w.acked)
	for i, c := range w.cores {
		k := *c
		k.pending = slices.Clone(c.pending)
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

// action is the type of an event.
type action int

// The actions of a world.
const (
	write           action = iota // an operator's write is acknowledged
	beginRead                     // a node begins a read
	serveRead                     // the store fixes the result of the read
	finishRead                    // the response to the read arrives
	tick                          // a node gets a Tick
	deliverNext                   // the oldest message to the next node arrives
	deliverPrevious               // the oldest message to the previous node arrives
	copyNext                      // a node gets the configuration of the next node
	copyPrevious                  // a node gets the configuration of the previous node
	pause                         // 600 ms pass
	freeze                        // 3 s pass
	restart                       // a node restarts and its links are re-established
	relink                        // a node's links go down and up again
	restoreOlder                  // the store is restored from a copy with its first version only
	restoreRows                   // the rows that operators wrote are back
)

// event is one action at one node.
type event struct {
	action action
	node   int
}

// play carries out an event. It reports false if the event isn't possible.
func (w *world) play(e event) bool {
	i := e.node
	switch e.action {
	case write:
		if w.missing() {
			return false
		}
		w.acked = append(w.acked, w.now)
		w.shown++
	case beginRead:
		if w.reads[i].state != 0 {
			return false
		}
		w.reads[i] = read{state: 1, began: w.clock(i)}
	case serveRead:
		if w.reads[i].state != 1 {
			return false
		}
		w.reads[i].state, w.reads[i].version, w.reads[i].epoch = 2, w.shown, w.epoch
	case finishRead:
		return w.finish(i)
	case tick:
		w.step(i, core.Tick{})
	case deliverNext:
		return i+1 < nodes && w.deliver(i, i+1)
	case deliverPrevious:
		return i > 0 && w.deliver(i, i-1)
	case copyNext:
		return i+1 < nodes && w.copy(i+1, i)
	case copyPrevious:
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
	case restoreOlder:
		if w.shown < 2 || w.missing() {
			return false
		}
		w.shown = 1
		if w.epoch > 0 {
			w.epoch++
		}
		w.restored = w.now
		for i, c := range w.cores {
			w.blind[i] = w.blind[i] || w.epoch > 0 && c.epoch == 0
		}
	case restoreRows:
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
	w.step(i, Read{Began: r.began, Version: r.version, Epoch: r.epoch})
	return true
}

// hold puts a version in force at a node, unless the node holds it or a newer one.
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
		m = w.ageOnlyMessage(from, to, m)
	}
	w.step(to, core.Received{From: id(from), Message: m})
	return true
}

// ageOnlyMessage rewrites a message so that its receiver dates the proof by the age at
// sending alone, as if the transit time were zero.
func (w *world) ageOnlyMessage(from, to int, m *message.Freshness) *message.Freshness {
	p := w.cores[to].peers[id(from)]
	back := w.cores[from].peers[id(to)]
	if m.Version == 0 || p == nil || back == nil {
		return m
	}
	n := *m
	moment := back.stampArrived.Add(time.Duration(m.Offset) * time.Millisecond)
	age := w.cores[from].stampTime(m.Stamp).Sub(moment) // at sending
	n.Echo = p.lastStamp
	n.Offset = (w.clock(to).Sub(w.cores[to].stampTime(p.lastStamp)) - age).Milliseconds()
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
