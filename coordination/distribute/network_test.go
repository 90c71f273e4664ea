package distribute

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// network drives many cores in virtual time over faulty links. At every step it
// checks that no node goes back to an older version or becomes ready too early,
// and that no status wrongly reports a version in force.
type network struct {
	t     must.T
	rng   *rand.Rand
	now   time.Time
	queue eventQueue
	term  uint64
	cfg   Config

	nodes       []*node
	index       map[model.NodeID]int // of nodes
	links       []link
	cutLinks    map[link]bool
	faultyLinks bool                  // messages are dropped, duplicated and reordered
	lostKinds   map[message.Kind]bool // kinds of message that are dropped

	platform      *snapshot.Snapshot
	organisations int
	platformUp    bool
	noLeases      bool // no node is granted a lease

	nonReaderReads int // of the head, by nodes other than readers
	readerPolls    int // of the head, by readers
	bytes          map[message.Kind]int
	messages       map[message.Kind]int

	lastSent message.Message // message sent last, with its encoded and decoded form
	encoded  []byte
	decoded  message.Message
}

type link [2]int // indexes into network.nodes, the lower one first

// node is one simulated node, in its present incarnation.
type node struct {
	id                model.NodeID
	zone              model.Zone
	core              *Core
	incarnation       uint64
	up                bool
	paused            bool
	backlog           []core.Event // events held back while it is paused
	hasLease          bool
	heldVersion       uint64 // newest version swapped to in this incarnation
	rememberedVersion uint64 // newest version that connected neighbours remember from earlier incarnations
	swaps             int
	swapAt            time.Time
	sent              int                  // bytes sent
	swappedAt         map[uint64]time.Time // when it swapped to each version; nil: not recorded
}

// event is an input to one incarnation of a node, due at a time.
type event struct {
	at          time.Time
	sequence    int // order of events that have the same time
	node        int
	incarnation uint64
	ev          core.Event
}

// eventQueue is a heap of events ordered by time, then by order of insertion.
type eventQueue struct {
	heap   []event
	pushed int
}

func (q *eventQueue) Len() int { return len(q.heap) }

func (q *eventQueue) Less(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.sequence < b.sequence
}

func (q *eventQueue) Swap(i, j int) { q.heap[i], q.heap[j] = q.heap[j], q.heap[i] }

func (q *eventQueue) Push(e any) { q.heap = append(q.heap, e.(event)) }

func (q *eventQueue) Pop() any {
	last := len(q.heap) - 1
	e := q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	return e
}

// chord returns the index of the k-th member of a zone that its i-th member
// links to. The first one is the next on the ring.
type chord func(size, i, k int) int

// evenChord links to the next member, and to those about a fifth and half of
// the ring away.
func evenChord(size, i, k int) int { return (i + []int{1, 1 + size/5, 1 + size/2}[k]) % size }

// hashedChord chooses the links by hash, like members of a real zone. Path
// lengths grow with the logarithm of the size of the zone.
func hashedChord(size, i, k int) int {
	if k == 0 {
		return (i + 1) % size
	}
	return int(uint64(model.NodeID(fmt.Sprint(i, "/", k)).Key()) % uint64(size))
}

// newNetwork returns a network of zones of the given sizes. Each zone is a ring
// with two more chords per node, and two of its nodes are gateways with links
// to the gateways of the other zones.
func newNetwork(t must.T, seed uint64, sizes ...int) *network {
	return newOverlay(t, seed, evenChord, sizes...)
}

// newOverlay returns a network like newNetwork's with the links within zones
// chosen by to.
func newOverlay(t must.T, seed uint64, to chord, sizes ...int) *network {
	n := &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), cutLinks: make(map[link]bool), cfg: DefaultConfig(),
		index: make(map[model.NodeID]int), platform: snapshot.Empty(), platformUp: true, organisations: 8,
	}
	n.resetCounts()
	var gateways []int
	for z, size := range sizes {
		first := len(n.nodes)
		for i := range size {
			id := model.NodeID(fmt.Sprintf("host-%d-%03d", z, i))
			n.index[id] = len(n.nodes)
			n.nodes = append(n.nodes, &node{id: id, zone: model.Zone(fmt.Sprintf("zone-%d", z))})
			for k := range 3 {
				n.link(first+i, first+to(size, i, k))
			}
		}
		for _, g := range gateways {
			n.link(g, first)
			n.link(g, first+size/2)
		}
		gateways = append(gateways, first, first+size/2)
	}
	return n
}

func (n *network) resetCounts() {
	n.bytes, n.messages = make(map[message.Kind]int), make(map[message.Kind]int)
	n.nonReaderReads, n.readerPolls = 0, 0
	for _, d := range n.nodes {
		d.sent = 0
	}
}

func (n *network) link(a, b int) {
	if l := (link{min(a, b), max(a, b)}); a != b && !slices.Contains(n.links, l) {
		n.links = append(n.links, l)
	}
}

// push queues an event for a node, due after a delay.
func (n *network) push(after time.Duration, i int, ev core.Event) {
	n.queue.pushed++
	heap.Push(&n.queue, event{at: n.now.Add(after), sequence: n.queue.pushed, node: i, incarnation: n.nodes[i].incarnation, ev: ev})
}

// start starts a new incarnation of a node, which holds no version, and opens
// its connections.
func (n *network) start(i int) {
	d := n.nodes[i]
	*d = node{id: d.id, zone: d.zone, incarnation: d.incarnation + 1, up: true}
	d.core = New(n.cfg, n.record(i), uint64(i)<<16|d.incarnation)
	n.push(time.Duration(n.rng.IntN(100))*time.Millisecond, i, core.Tick{})
	for _, l := range n.links {
		if slices.Contains(l[:], i) {
			n.connect(l)
		}
	}
	n.elect()
}

func (n *network) record(i int) endpoint.Record {
	return endpoint.Record{Node: n.nodes[i].id, Zone: n.nodes[i].zone, Incarnation: n.nodes[i].incarnation}
}

func (n *network) connected(l link) bool {
	return !n.cutLinks[l] && n.nodes[l[0]].up && n.nodes[l[1]].up
}

func (n *network) connect(l link) {
	for k, me := range l {
		if peer := n.nodes[l[1-k]]; n.connected(l) {
			n.push(time.Duration(1+n.rng.IntN(3))*time.Millisecond, me, core.PeerUp{
				Record: n.record(l[1-k]), Held: peer.core.Held().Ref(), Ready: peer.core.Ready(),
				Welcomed: true, LastHeldValid: true, LastHeld: peer.core.LastHeldOf(n.nodes[me].id),
			})
			n.nodes[me].rememberedVersion = max(n.nodes[me].rememberedVersion, peer.core.LastHeldOf(n.nodes[me].id))
		}
	}
}

func (n *network) disconnect(l link) {
	for k, me := range l {
		n.push(time.Millisecond, me, core.PeerDown{Node: n.nodes[l[1-k]].id})
	}
}

func (n *network) setCut(l link, cut bool) {
	wasConnected := n.connected(l)
	n.cutLinks[l] = cut
	switch {
	case wasConnected && cut:
		n.disconnect(l)
	case !wasConnected && !cut:
		n.connect(l)
	}
}

func (n *network) crash(i int) {
	for _, l := range n.links {
		if slices.Contains(l[:], i) && n.connected(l) {
			n.disconnect(l)
		}
	}
	n.nodes[i].up = false
	n.elect()
}

// elect grants each zone's lease, with a higher term, to its first live node
// that is not paused, and sends all live nodes the members of their zone. A
// paused former holder processes the loss of its lease once it resumes.
func (n *network) elect() {
	live := make(map[model.Zone][]model.NodeID)
	leaseTaken := make(map[model.Zone]bool)
	for i, d := range n.nodes {
		if !d.up {
			continue
		}
		live[d.zone] = append(live[d.zone], d.id)
		granted := !n.noLeases && !d.paused && !leaseTaken[d.zone]
		leaseTaken[d.zone] = leaseTaken[d.zone] || granted
		if granted != d.hasLease {
			d.hasLease = granted
			n.term++
			n.push(0, i, LeaseChanged{Held: granted, Term: n.term})
		}
	}
	for i, d := range n.nodes {
		if d.up {
			n.push(0, i, Members{Live: live[d.zone]})
		}
	}
}

// run advances the virtual time by d. Events for a paused node are held back.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for n.queue.Len() > 0 && !n.queue.heap[0].at.After(end) {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		switch d := n.nodes[e.node]; {
		case !d.up || d.incarnation != e.incarnation:
		default:
			d.backlog = append(d.backlog, e.ev)
			for len(d.backlog) > 0 && !d.paused {
				ev := d.backlog[0]
				d.backlog = d.backlog[1:]
				n.step(e.node, ev)
			}
		}
	}
	n.now = end
}

func (n *network) step(i int, ev core.Event) {
	if _, ok := ev.(core.Tick); ok {
		n.push(100*time.Millisecond, i, core.Tick{})
	}
	d := n.nodes[i]
	for _, a := range d.core.Step(n.now, ev) {
		switch a := a.(type) {
		case core.Send:
			n.deliver(i, a)
		case ReadHead:
			if d.hasLease {
				n.readerPolls++
			} else {
				n.nonReaderReads++
			}
			n.push(2*time.Millisecond, i, HeadRead{Ref: n.platform.Ref(), Err: n.outage()})
		case LoadVersion:
			n.push(5*time.Millisecond, i, Loaded{Snapshot: n.platform, Err: n.outage()})
		case Swap:
			must.Greater(n.t, d.heldVersion, a.Snapshot.Version(), must.Sprintf("%s swaps to an older version", d.id))
			d.heldVersion, d.swapAt = a.Snapshot.Version(), n.now
			if d.swappedAt != nil {
				d.swappedAt[d.heldVersion] = n.now
			}
			d.swaps++
		case ReadyChanged:
			must.True(n.t, !a.Ready || d.core.Held().Version() >= d.rememberedVersion, must.Sprintf("%s is ready with an older version than neighbours remember of it", d.id))
		}
	}
}

// errDown is the error of every read while the platform is down.
type errDown struct{}

func (errDown) Error() string { return "platform is down" }

func (n *network) outage() error {
	if n.platformUp {
		return nil
	}
	return errDown{}
}

// deliver passes a message on over its link, which may be cut or faulty, and
// counts it.
func (n *network) deliver(from int, s core.Send) {
	to := n.index[s.To]
	kind := s.Message.Kind()
	if !n.connected(link{min(from, to), max(from, to)}) || n.lostKinds[kind] {
		return
	}
	if z, ok := s.Message.(*message.ZoneStatus); ok && z.Holding == z.Live {
		n.checkInForce(z)
	}
	size, m := n.roundTrip(s.Message)
	n.bytes[kind] += size
	n.nodes[from].sent += size
	n.messages[kind]++
	copies, delay := 1, time.Millisecond
	if n.faultyLinks {
		copies = []int{0, 1, 1, 1, 2}[n.rng.IntN(5)]
		delay += time.Duration(n.rng.IntN(30)) * time.Millisecond
	}
	for range copies {
		n.push(delay, to, core.Received{From: n.nodes[from].id, Message: m})
	}
}

// roundTrip encodes and decodes a message, once for all neighbours that it is
// sent to. It returns its size in bytes and the decoded message.
func (n *network) roundTrip(m message.Message) (int, message.Message) {
	if n.lastSent != m {
		b, err := message.Encode(m)
		must.NoError(n.t, err)
		n.lastSent, n.encoded = m, b
		n.decoded, err = message.Decode(b)
		must.NoError(n.t, err)
	}
	return len(n.encoded), n.decoded
}

// checkInForce fails if a live, ready member of the zone serves an older
// version than the one that the status reports in force.
func (n *network) checkInForce(z *message.ZoneStatus) {
	for _, d := range n.nodes {
		if d.zone == z.Zone && d.up && d.core.Ready() && d.core.Held().Version() < z.Version {
			n.t.Fatalf("%s serves an older version than %d, which is reported in force", d.id, z.Version)
		}
	}
}

// publish makes the next version the platform's, and delivers it to a node as
// accepted there unless at is negative.
func (n *network) publish(at int) {
	n.platform = nextVersion(n.t, n.platform, n.organisations)
	if at >= 0 && n.nodes[at].up {
		n.push(0, at, Loaded{Snapshot: n.platform})
	}
}

// nodesBehind returns the live nodes that do not serve the platform's version.
func (n *network) nodesBehind() []model.NodeID {
	var ids []model.NodeID
	for _, d := range n.nodes {
		if d.up && (!d.core.Ready() || d.core.Held().Ref() != n.platform.Ref()) {
			ids = append(ids, d.id)
		}
	}
	return ids
}

// nextVersion returns the snapshot that follows s, with one organisation's
// contract changed. Version 1 has new contracts for all organisations.
func nextVersion(t must.T, s *snapshot.Snapshot, organisations int) *snapshot.Snapshot {
	v := s.Version() + 1
	contracts := make(map[string]*snapshot.ContractEntry)
	for i := range uint64(organisations) {
		name := fmt.Sprintf("organisation-%d", i)
		contracts[name] = s.Contract(name)
		if v == 1 || i == v%uint64(organisations) {
			contracts[name] = &snapshot.ContractEntry{Revision: v, Contract: testContract(name, int(v))}
		}
	}
	services := map[string]*snapshot.ServiceEntry{"foglalas": {Revision: 1, Service: &model.Service{Name: "foglalas"}}}
	next, err := snapshot.Build(v, contracts, services)
	must.NoError(t, err)
	return next
}

// testContract returns a contract with random parts, so that it compresses no
// better than real ones.
func testContract(name string, burst int) *model.Contract {
	noise := rand.New(rand.NewPCG(uint64(model.NodeID(name).Key()), 1))
	c := &model.Contract{
		Organisation: name, Hosts: []string{fmt.Sprintf("%x.example", noise.Uint64())}, HandledBy: model.SystemMesh,
		Rate: model.Rate{PerSecond: 100, Burst: burst}, Concurrency: 20, Weight: 10,
		Classes: []model.Class{{Name: "screens", Kind: model.KindInteractive, Weight: 1}},
	}
	for i := range 4 {
		path := fmt.Sprintf("/rooms/%x", noise.Uint64())
		c.Routes = append(c.Routes, model.Route{Name: fmt.Sprint(i), PathPrefix: path, Service: "foglalas", Class: "screens"})
	}
	return c
}

// startAll returns a network in which all nodes have started and serve version
// 1.
func startAll(t *testing.T, seed uint64, sizes ...int) *network {
	t.Helper()
	n := newNetwork(t, seed, sizes...)
	n.publish(-1)
	for i := range n.nodes {
		n.start(i)
	}
	n.run(12 * time.Second)
	must.SliceEmpty(t, n.nodesBehind())
	return n
}
