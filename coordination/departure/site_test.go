package departure

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/coordination/member"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/instance"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Bounds of the simulated site, as the users' platform gives them.
const (
	// drainTimeout is the time after the acknowledgement of a departure within which requests may
	// still reach the backend server.
	drainTimeout = 2 * time.Second
	// inTouchAfter is how long a node must have been without a disturbance to be in touch.
	inTouchAfter = 3 * time.Second
	// ackTimeout is how long a backend server waits for an acknowledgement before it asks again.
	ackTimeout = time.Second
)

// Timing of the simulated nodes, as in internal/sidecar.
const (
	simTick        = 100 * time.Millisecond
	simCheck       = 20 * time.Millisecond
	simStoreTime   = 5 * time.Millisecond
	simRetry       = time.Second
	simInstanceTTL = 6500 * time.Millisecond
	simHeartbeat   = 1500 * time.Millisecond
	simListed      = 2 // nodes of each zone that stand in the store's list
)

const simService = "booking"

// simTask is something that happens at a moment.
type simTask struct {
	at    time.Time
	order int
	do    func()
}

// simSite is a site of several availability zones with the platform's store, under virtual time.
type simSite struct {
	rng   *rand.Rand
	now   time.Time
	queue []simTask // sorted by descending time
	order int
	nodes []*simNode

	storeDown    bool
	storeSince   time.Time // when the store last went down or came back
	storeDrained map[model.NodeID]string
	// storeCut reports whether a node can't reach the store, though it serves others.
	storeCut func(n *simNode) bool
	// checked is what health checks of backend servers in service find.
	checked Check
	// cut reports whether two nodes can't reach each other.
	cut func(a, b *simNode) bool

	leaver     *simNode
	leaving    instance.Start
	saidAt     time.Time // when the leaving backend server said goodbye; zero before
	ackedAt    time.Time // when it was acknowledged; zero before
	ended      bool      // it no longer runs
	forgotten  bool      // neither the store nor a running node remembers the departure
	violations []string
}

// simNode is a host with its node and backend server.
type simNode struct {
	s       *simSite
	id      model.NodeID
	zone    model.Zone
	addr    string
	start   instance.Start // the backend server beside it
	beats   uint64         // heartbeats sent
	silent  bool           // the backend server sends no heartbeats
	listed  bool           // the node stands in the store's list
	starts  int
	up      bool
	startAt time.Time
	// configured is set once the node has the configuration, and sends requests by it.
	configured bool

	member       *member.Core
	departed     *Core
	local        *instance.Local
	confirmation *Confirmation
	settled      bool
	inDoubt      bool
	links        map[model.NodeID]bool
	record       endpoint.Record
}

func newSimSite(seed uint64, zoneSizes ...int) *simSite {
	s := &simSite{
		rng: rand.New(rand.NewPCG(seed, 41)), now: time.Unix(1_800_000_000, 0), storeDrained: make(map[model.NodeID]string),
		cut: func(_, _ *simNode) bool { return false }, storeCut: func(*simNode) bool { return false }, checked: InService,
	}
	s.storeSince = s.now.Add(-time.Hour)
	for z, size := range zoneSizes {
		for i := range size {
			n := &simNode{s: s, id: model.NodeID(fmt.Sprintf("node-%d-%d-%d", z, i, seed)), zone: model.Zone(fmt.Sprint("z", z)), listed: i < simListed}
			n.addr = fmt.Sprintf("10.0.%d.%d:7400", z, i+1)
			n.start = instance.Start{ID: "i-" + string(n.id), Born: s.now.UnixMilli()}
			s.nodes = append(s.nodes, n)
		}
	}
	for _, n := range s.nodes {
		s.after(s.upTo(200*time.Millisecond), func() { n.run(true) })
		s.after(s.upTo(simHeartbeat), n.heartbeats)
	}
	s.after(0, s.check)
	return s
}

func (s *simSite) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

func (s *simSite) after(d time.Duration, do func()) {
	s.order++
	t := simTask{s.now.Add(max(0, d)), s.order, do}
	i, _ := slices.BinarySearchFunc(s.queue, t, func(a, b simTask) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(b.order, a.order))
	})
	s.queue = slices.Insert(s.queue, i, t)
}

// runFor lets a time pass.
func (s *simSite) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 {
		t := s.queue[len(s.queue)-1]
		if t.at.After(end) {
			break
		}
		s.queue = s.queue[:len(s.queue)-1]
		s.now = t.at
		t.do()
	}
	s.now = end
}

func (s *simSite) setStoreDown(down bool) {
	if s.storeDown != down {
		s.storeDown, s.storeSince = down, s.now
	}
}

// node returns the node with an identifier or address.
func (s *simSite) node(name string) *simNode {
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return string(n.id) == name || n.addr == name })
	return s.nodes[i]
}

// run starts the process of the node.
func (n *simNode) run(first bool) {
	s := n.s
	n.starts++
	n.up, n.startAt, n.configured, n.settled, n.inDoubt = true, s.now, false, false, false
	n.confirmation = NewConfirmation(simHeartbeat)
	n.record = endpoint.Record{
		Node: n.id, Zone: n.zone, Region: "r", PeerAddr: n.addr, GateAddr: n.addr, Incarnation: uint64(s.now.UnixMilli()),
	}
	n.local, n.links = new(instance.Local), make(map[model.NodeID]bool)
	n.member = member.New(simMemberConfig(), n.record, nil, s.rng.Uint64())
	cfg := DefaultConfig()
	cfg.FirstStart, cfg.Zone = first, n.zone
	n.departed = New(cfg, n.id, s.rng.Uint64())
	n.whileRunning(0, simTick, func() {
		if n.local.Expire(s.now, simInstanceTTL) {
			n.announce()
		}
		n.step(core.Tick{})
	})
	n.inThisRun(s.upTo(50*time.Millisecond), n.readConfig)
	n.inThisRun(s.upTo(100*time.Millisecond), n.readList)
}

func simMemberConfig() member.Config {
	cfg := member.DefaultConfig()
	cfg.HeartbeatInterval = 700 * time.Millisecond
	cfg.SuspectAfter = 2500 * time.Millisecond
	cfg.ConnectTimeout = 2 * time.Second
	cfg.BackoffMax = 2 * time.Second
	cfg.UnlinkedZoneDelay = 2 * time.Second
	cfg.RejoinInterval = 3 * time.Second
	cfg.ConnectsPerSecond = 10
	cfg.ConnectBurst = 20
	cfg.DigestInterval = 3 * time.Second
	cfg.RequestTimeout = time.Second
	cfg.LinkLinger = 3 * time.Second
	return cfg
}

// inThisRun does something later if the process still runs then.
func (n *simNode) inThisRun(d time.Duration, do func()) {
	run := n.starts
	n.s.after(d, func() {
		if n.up && n.starts == run {
			do()
		}
	})
}

func (n *simNode) whileRunning(d, every time.Duration, do func()) {
	n.inThisRun(d, func() {
		do()
		n.whileRunning(every, every, do)
	})
}

// crash ends the process. Its peers' connections are reset.
func (n *simNode) crash() {
	if !n.up {
		return
	}
	n.up = false
	for id := range n.links {
		n.s.node(string(id)).linkLost(n)
	}
}

func (n *simNode) linkLost(to *simNode) {
	delete(n.links, to.id)
	n.inThisRun(time.Millisecond, func() {
		if !n.links[to.id] {
			n.step(core.PeerDown{Node: to.id})
		}
	})
}

// readConfig reads the configuration, from the store or a peer that has it.
func (n *simNode) readConfig() {
	fromPeer := false
	for id := range n.links {
		fromPeer = fromPeer || n.s.node(string(id)).configured
	}
	if !n.storeAway() || fromPeer {
		n.inThisRun(simStoreTime, func() {
			n.configured = true
			n.checkInDoubt()
		})
		return
	}
	n.inThisRun(simTick, n.readConfig)
}

// readList reads the list of nodes.
func (n *simNode) readList() {
	n.inThisRun(simStoreTime, func() {
		if n.storeAway() {
			n.step(ListRead{Failed: true})
			n.inThisRun(simRetry/2+n.s.upTo(simRetry), n.readList)
			return
		}
		n.step(ListRead{OwnDeparted: n.s.storeDrained[n.id]})
		var near, far []string
		for _, o := range n.s.nodes {
			switch {
			case o == n, !o.listed:
			case o.zone == n.zone:
				near = append(near, o.addr)
			default:
				far = append(far, o.addr)
			}
		}
		n.step(member.SeedsLearned{Addrs: near, OtherZoneAddrs: far})
	})
}

// heartbeats lets the backend server say that it is there.
func (n *simNode) heartbeats() {
	if !n.silent {
		n.hear(n.beat(false))
	}
	n.s.after(simHeartbeat, n.heartbeats)
}

// beat returns the backend server's next heartbeat.
func (n *simNode) beat(draining bool) instance.Heartbeat {
	n.beats++
	return instance.Heartbeat{Start: n.start, Addr: n.addr, Service: simService, Slots: 9, Draining: draining, Sequence: n.beats}
}

// hear takes a heartbeat, as internal/sidecar does.
func (n *simNode) hear(h instance.Heartbeat) {
	if !n.up {
		return
	}
	n.local.RecordHeartbeat(n.s.now, h)
	if i := n.local.Current(); i != nil && i.Start == h.Start {
		n.confirmation.Heard(n.s.now, i)
	}
	n.checkInDoubt()
	n.announce()
}

// withheld reports whether the current instance is ready and not offered yet.
func (n *simNode) withheld() bool {
	i := n.local.Current()
	if i == nil || i.State != instance.Ready {
		return false
	}
	return !n.settled || n.inDoubt && !n.confirmation.Confirmed(i.Key())
}

// checkInDoubt checks the health of a backend server that is withheld.
func (n *simNode) checkInDoubt() {
	if !n.settled || !n.configured || !n.withheld() || !n.confirmation.CheckDue() {
		return
	}
	key := n.local.Current().Key()
	n.inThisRun(time.Millisecond+n.s.upTo(20*time.Millisecond), func() {
		result := n.s.checked
		if result == InService && (n.silent || key != n.start.Key()) {
			result = Unanswered
		}
		n.confirmation.Checked(key, result)
		n.announce()
	})
}

// storeAway reports whether the node can't reach the store.
func (n *simNode) storeAway() bool { return n.s.storeDown || n.s.storeCut(n) }

// offers returns the instance that the node's gate takes requests for; nil for none.
func (n *simNode) offers() *instance.Instance {
	if !n.up || !n.settled || n.withheld() {
		return nil
	}
	return n.local.Current()
}

func (n *simNode) announce() {
	a := member.Announce{}
	if i := n.local.Current(); i != nil && !n.withheld() {
		a = member.Announce{Service: i.Service, Slots: i.Slots, Connections: i.Slots, Instance: i.Key(), Draining: i.State != instance.Ready}
	}
	n.step(a)
}

// step gives an event to the cores and carries out what follows.
func (n *simNode) step(ev core.Event) {
	if !n.up {
		return
	}
	n.carryOut(n.departed.Step(n.s.now, ev))
	n.carryOut(n.member.Step(n.s.now, ev))
}

func (n *simNode) carryOut(actions []core.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case core.Send:
			n.send(a)
		case core.Connect:
			n.dial(n.s.node(a.Addr), a.Node)
		case core.Disconnect:
			n.disconnect(n.s.node(string(a.Node)))
		case member.IdentityConflict:
			n.step(member.Incarnate{Incarnation: a.Incarnation + 1})
		case OwnDeparted:
			if n.local.Forget(n.s.now, instance.ParseStart(a.Instance)) {
				n.announce()
			}
			if !a.Stored {
				n.writeDrain()
			}
		case Kept:
			n.s.acknowledged(n, a.Instance)
		case Settled:
			n.settled, n.inDoubt = true, a.InDoubt
			n.checkInDoubt()
			n.announce()
		}
	}
}

func (n *simNode) send(a core.Send) {
	to := n.s.node(string(a.To))
	encoded, err := message.Encode(a.Message)
	if err != nil || !n.links[to.id] || n.s.cut(n, to) {
		return
	}
	n.s.after(time.Millisecond+n.s.upTo(time.Millisecond), func() {
		m, err := message.Decode(encoded)
		if err == nil && n.up && to.up && to.links[n.id] {
			to.step(core.Received{From: n.id, Message: m})
		}
	})
}

// dial connects to another node. named is empty if the address is all that is known of it.
func (n *simNode) dial(to *simNode, named model.NodeID) {
	n.inThisRun(2*time.Millisecond+n.s.upTo(20*time.Millisecond), func() {
		if !to.up || n.s.cut(n, to) || to == n {
			n.step(core.DialFailed{Node: named, Addr: to.addr})
			return
		}
		hello := core.PeerUp{Record: n.member.Self(), Digest: n.member.Digest(), Remembers: n.departed.Remembers(n.s.now)}
		if d, known := n.departed.Newest(to.id); known && named != "" {
			hello.Drained, hello.DrainedInstance = true, d.Instance
		}
		welcome := core.PeerUp{
			Record: to.member.Self(), Digest: to.member.Digest(), Welcomed: true, Incarnation: to.member.IncarnationOf(n.id),
			Remembers: to.departed.Remembers(n.s.now),
		}
		if d, known := to.departed.Newest(n.id); known && d.Incarnation < hello.Record.Incarnation {
			welcome.Drained, welcome.DrainedInstance = true, d.Instance
		}
		n.links[to.id], to.links[n.id] = true, true
		to.step(hello)
		n.inThisRun(time.Millisecond, func() {
			if n.links[to.id] {
				n.step(welcome)
			}
		})
	})
}

func (n *simNode) disconnect(to *simNode) {
	n.linkLost(to)
	to.linkLost(n)
}

// sayGoodbye lets the backend server beside a node depart, by a heartbeat or a goodbye, again until
// it is acknowledged.
func (s *simSite) sayGoodbye(n *simNode, byHeartbeat bool) {
	s.leaver, s.leaving, s.saidAt = n, n.start, s.now
	n.silent = true
	s.goodbye(byHeartbeat)
}

func (s *simSite) goodbye(byHeartbeat bool) {
	n := s.leaver
	if !s.ackedAt.IsZero() || s.ended {
		return
	}
	s.after(ackTimeout, func() { s.goodbye(byHeartbeat) })
	if !n.up {
		return
	}
	if byHeartbeat {
		n.hear(n.beat(true))
	} else if n.local.Leave(s.now, s.leaving) {
		n.announce()
	}
	n.step(Leaving{Instance: s.leaving.Key(), Incarnation: n.record.Incarnation})
	n.inThisRun(simStoreTime, func() { n.writeDrain() })
}

// writeDrain writes the departure to the store, until it has taken it.
func (n *simNode) writeDrain() {
	if n.storeAway() {
		n.inThisRun(250*time.Millisecond+n.s.upTo(simRetry), n.writeDrain)
		return
	}
	n.s.storeDrained[n.id] = n.s.leaving.Key()
	n.s.acknowledged(n, n.s.leaving.Key())
}

// acknowledged notes that the departure has been acknowledged: somebody else remembers it.
func (s *simSite) acknowledged(n *simNode, key string) {
	if n == s.leaver && key == s.leaving.Key() && s.ackedAt.IsZero() {
		s.ackedAt = s.now
	}
}

// check looks for requests that break the rule: taken and sent on by nodes in touch, they reach the
// backend server later than drainTimeout after its departure was acknowledged.
func (s *simSite) check() {
	s.after(simCheck, s.check)
	if s.ackedAt.IsZero() || s.ended {
		return
	}
	s.forgotten = s.forgotten || !s.remembered()
	gate := s.leaver.offers()
	if s.now.Sub(s.ackedAt) < drainTimeout || gate == nil || gate.Key() != s.leaving.Key() || gate.State != instance.Ready {
		return
	}
	for _, n := range s.nodes {
		if s.inTouch(n) && s.inTouch(s.leaver) && n.sendsTo(s.leaving.Key()) {
			s.violations = append(s.violations, fmt.Sprintf("%.2f s after the acknowledgement %s sends to %s",
				s.now.Sub(s.ackedAt).Seconds(), n.id, s.leaving.Key()))
		}
	}
}

// remembered reports whether the store or a running node remembers the departure.
func (s *simSite) remembered() bool {
	inStore := s.storeDrained[s.leaver.id] == s.leaving.Key()
	return inStore || slices.ContainsFunc(s.nodes, func(n *simNode) bool { return n.up && n.departed.Has(s.leaving.Key()) })
}

// inTouch reports whether a node is in touch. One that has itself acknowledged the departure is
// bound by it while the store is away as well.
func (s *simSite) inTouch(n *simNode) bool {
	stable := !s.storeDown && s.now.Sub(s.storeSince) >= inTouchAfter
	return n.up && s.now.Sub(n.startAt) >= inTouchAfter && (stable || n == s.leaver)
}

// sendsTo reports whether the node sends requests to an instance.
func (n *simNode) sendsTo(key string) bool {
	if !n.up || !n.configured {
		return false
	}
	view := n.member.Table().View().Without(func(r endpoint.Record) bool { return n.departed.Has(r.Instance) })
	return slices.ContainsFunc(view.Service(simService), func(r endpoint.Record) bool { return r.Instance == key })
}

// linked returns the names of the nodes that a node is connected to.
func (n *simNode) linked() []model.NodeID { return slices.Sorted(maps.Keys(n.links)) }
