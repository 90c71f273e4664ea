package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/suspect"
)

// network simulates cores in virtual time, each linked with the next two on a ring.
type network struct {
	t     *testing.T
	now   time.Time
	cores map[model.NodeID]*Core
	links map[[2]model.NodeID]bool
	queue []envelope
	// lose reports whether a message is lost; nil loses none.
	lose func(envelope) bool
	// messages and entries count the messages sent and the entries in them.
	messages, entries int
	// reported holds the quarantines that each node has reported.
	reported map[model.NodeID][]Quarantined
	// record handles the action Record; nil ignores it.
	record func(model.NodeID, Record)
}

type envelope struct {
	from, to model.NodeID
	message  message.Message
}

func node(i int) model.NodeID { return model.NodeID(fmt.Sprintf("n%03d", i)) }

func newNetwork(t *testing.T, n int) *network {
	w := &network{
		t: t, now: time.Unix(1_000_000, 0), cores: make(map[model.NodeID]*Core),
		links: make(map[[2]model.NodeID]bool), reported: make(map[model.NodeID][]Quarantined),
	}
	for i := range n {
		w.cores[node(i)] = New(uint64(i))
	}
	for i := range n {
		w.link(node(i), node((i+1)%n))
		w.link(node(i), node((i+2)%n))
	}
	w.run(time.Second)
	return w
}

func (w *network) link(a, b model.NodeID) {
	if a == b || w.links[[2]model.NodeID{a, b}] {
		return
	}
	w.links[[2]model.NodeID{a, b}], w.links[[2]model.NodeID{b, a}] = true, true
	w.step(a, core.PeerUp{Record: endpoint.Record{Node: b}})
	w.step(b, core.PeerUp{Record: endpoint.Record{Node: a}})
}

// cut closes all links of a node.
func (w *network) cut(a model.NodeID) {
	for pair := range maps.Clone(w.links) {
		if pair[0] == a {
			delete(w.links, pair)
			delete(w.links, [2]model.NodeID{pair[1], a})
			w.step(a, core.PeerDown{Node: pair[1]})
			w.step(pair[1], core.PeerDown{Node: a})
		}
	}
}

// step passes an event to a node's core, queues the messages that result and records the
// other actions.
func (w *network) step(at model.NodeID, ev core.Event) {
	c := w.cores[at]
	before := c.View()
	changed := false
	for _, a := range c.Step(w.now, ev) {
		switch a := a.(type) {
		case core.Send:
			b, err := message.Encode(a.Message)
			must.NoError(w.t, err)
			m, err := message.Decode(b)
			must.NoError(w.t, err)
			w.queue = append(w.queue, envelope{at, a.To, m})
			w.messages++
			if s, ok := a.Message.(*message.Suspects); ok {
				w.entries += len(s.Entries)
			}
		case Changed:
			changed = true
		case Quarantined:
			w.reported[at] = append(w.reported[at], a)
		case Record:
			if w.record != nil {
				w.record(at, a)
			}
		}
	}
	if !changed {
		must.Eq(w.t, before, c.View(), must.Sprint("the view changed without the action Changed"))
	}
}

// run advances the time. Messages take a millisecond; each core gets a tick every 100 ms.
func (w *network) run(d time.Duration) {
	for i := range int(d / time.Millisecond) {
		w.now = w.now.Add(time.Millisecond)
		sent := w.queue
		w.queue = nil
		for _, e := range sent {
			if w.links[[2]model.NodeID{e.from, e.to}] && (w.lose == nil || !w.lose(e)) {
				w.step(e.to, core.Received{From: e.from, Message: e.message})
			}
		}
		if i%100 == 0 {
			for _, id := range slices.Sorted(maps.Keys(w.cores)) {
				w.step(id, core.Tick{})
			}
		}
	}
}

// crash crashes the backend server on a node's host while requests are in flight.
func (w *network) crash(at int, fingerprints ...suspect.Fingerprint) {
	id := uint64(w.now.UnixNano()) + uint64(at)
	w.step(node(at), Crashed{Crash: suspect.Crash{ID: id, At: w.now.Unix()}, Fingerprints: fingerprints})
}

// quarantined returns the number of nodes that don't send a request.
func (w *network) quarantined(f suspect.Fingerprint) int {
	n := 0
	for _, c := range w.cores {
		if c.View().Quarantined(f) {
			n++
		}
	}
	return n
}

// Each crash happens on another host. All nodes must quarantine the request within 0.2 s
// of the third crash, as its next retry may arrive at any node.
func TestCrashesOnDifferentHostsCountTogether(t *testing.T) {
	w := newNetwork(t, 12)
	const crashing, bystander = 7, 8
	w.crash(0, crashing, bystander)
	w.crash(4, crashing)
	w.run(100 * time.Millisecond)
	must.Zero(t, w.quarantined(crashing))
	w.crash(9, crashing)
	w.run(200 * time.Millisecond)
	must.Eq(t, 12, w.quarantined(crashing))
	must.Zero(t, w.quarantined(bystander))
	witnesses := 0
	for _, reported := range w.reported {
		must.Len(t, 1, reported)
		if reported[0].Witness {
			witnesses++
		}
	}
	must.Eq(t, 3, witnesses)
}

// A crash on a node's own host is pending for the next flood when a peer sends evidence
// against the same request. Guards against taking that peer for the sender of both: it
// would get the first crash only by a comparison of digests, up to 3 s later.
func TestOwnCrashIsSentToAPeerThatSendsAnother(t *testing.T) {
	w := newNetwork(t, 2)
	const crashing, other = 7, 9
	w.crash(0, other) // flooded at once, which delays the next flood
	w.run(90 * time.Millisecond)
	w.crash(0, crashing)
	w.run(12 * time.Millisecond)
	w.crash(1, crashing) // flooded at once
	w.run(200 * time.Millisecond)
	for at := range 2 {
		e, _ := w.cores[node(at)].table.Get(crashing)
		must.Len(t, 2, e.Evidence, must.Sprint(at))
	}
}

// A request that was in flight at three crashes by coincidence isn't quarantined if it
// succeeds on any node before the third.
func TestSuccessAnywhereClearsARequestEverywhere(t *testing.T) {
	w := newNetwork(t, 12)
	const bystander = 8
	w.crash(0, bystander)
	w.crash(4, bystander)
	w.run(200 * time.Millisecond)
	w.step(node(7), Succeeded{Fingerprint: bystander})
	w.run(200 * time.Millisecond)
	w.crash(9, bystander)
	w.run(200 * time.Millisecond)
	must.Zero(t, w.quarantined(bystander))
}

func TestStartedAndReconnectedNodesReceiveQuarantines(t *testing.T) {
	w := newNetwork(t, 6)
	const crashing = 7
	w.cut(node(5))
	for i := range 3 {
		w.crash(i, crashing)
	}
	w.run(time.Second)
	must.Eq(t, 5, w.quarantined(crashing))
	w.link(node(5), node(0))
	w.run(10 * time.Millisecond)
	must.Eq(t, 6, w.quarantined(crashing))
	w.cores[node(6)] = New(6)
	w.link(node(5), node(6))
	w.run(10 * time.Millisecond)
	must.Eq(t, 7, w.quarantined(crashing))
}

// The crash that a disconnected node has seen counts together with those of the other
// nodes once it reconnects.
func TestEvidenceOfADisconnectedNodeCounts(t *testing.T) {
	w := newNetwork(t, 6)
	const crashing = 7
	w.cut(node(5))
	w.crash(5, crashing)
	w.crash(0, crashing)
	w.crash(1, crashing)
	w.run(time.Second)
	must.Zero(t, w.quarantined(crashing))
	w.link(node(5), node(3))
	w.run(200 * time.Millisecond)
	must.Eq(t, 6, w.quarantined(crashing))
}

// The comparison of digests repairs the loss of all messages that carried evidence.
func TestDigestsRepairLostMessages(t *testing.T) {
	w := newNetwork(t, 6)
	const crashing = 7
	w.lose = func(envelope) bool { return true }
	for i := range 3 {
		w.crash(i, crashing)
	}
	w.run(time.Second)
	must.Zero(t, w.quarantined(crashing))
	w.lose = nil
	w.run(30 * time.Second)
	must.Eq(t, 6, w.quarantined(crashing))
}

// After a restart of all nodes, one node that reads the store spreads its quarantines.
func TestQuarantineIsLoadedFromTheStore(t *testing.T) {
	w := newNetwork(t, 6)
	const crashing = 7
	w.step(node(2), Loaded{Entries: []suspect.Entry{suspect.Stored(crashing, w.now.Add(-time.Hour))}})
	w.run(200 * time.Millisecond)
	must.Eq(t, 6, w.quarantined(crashing))
	for _, reported := range w.reported {
		must.False(t, reported[0].Witness, must.Sprint("a quarantine from the store needs no write"))
	}
}

// Seventy backend servers crash at once for unrelated reasons, with seven requests in
// flight each, all of which become suspects. Every node takes part in the flood; after
// it, only periodic digests may be sent.
func TestManySimultaneousCrashesCostFewMessages(t *testing.T) {
	w := newNetwork(t, 100)
	before := w.messages
	for i := range 70 {
		var fingerprints []suspect.Fingerprint
		for j := range 7 {
			fingerprints = append(fingerprints, suspect.Fingerprint(1000*i+j+1))
		}
		w.crash(i, fingerprints...)
	}
	w.run(5 * time.Second)
	must.Eq(t, 490, w.cores[node(50)].table.Len())
	perNode := float64(w.messages-before) / 100
	must.Between(t, 0, perNode, 110, must.Sprint("messages of one node"))
	must.Between(t, 0, float64(w.entries)/100, 2500, must.Sprint("entries sent by one node"))
	before, w.entries = w.messages, 0
	w.run(30 * time.Second)
	must.Between(t, 0, float64(w.messages-before)/100, 11, must.Sprint("one digest every 3 s"))
	must.Zero(t, w.entries)
}
