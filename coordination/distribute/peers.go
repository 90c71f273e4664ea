package distribute

import (
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// peer is a connected neighbour.
type peer struct {
	record endpoint.Record
	// held is the newest version the peer is known to hold.
	held snapshot.Ref
	// ready says that the peer serves with what it holds.
	ready bool
	// answered says that the peer told what it remembers of this node.
	answered bool
	// toldReady is whether the peer was told that this node is ready.
	toldReady bool
	// asked says that a Fetch was sent and its answer may still come.
	asked bool
	// skipUntil is when the peer may be asked again after a timeout.
	skipUntil time.Time
	// parts collects a whole version that the peer sends.
	parts *assembly
	// beacon is the newest own-zone beacon that the peer delivered.
	beacon beaconMark
	// knows is the newest version that the peer is known to have heard of.
	knows snapshot.Ref
	// child says that this node is the peer's way to the reader, so that the
	// peer takes statuses from here.
	child bool
	// statuses are the newest statuses that the peer has, by zone.
	statuses map[model.Zone]beaconMark
}

func (p *peer) id() model.NodeID { return p.record.Node }

// holds notes that the peer holds a version.
func (p *peer) holds(ref snapshot.Ref) {
	if ref.Newer(p.held) {
		p.held = ref
	}
	p.heard(ref)
}

// heard notes that the peer knows that a version exists.
func (p *peer) heard(ref snapshot.Ref) {
	if ref.Newer(p.knows) {
		p.knows = ref
	}
}

func (c *Core) sameZone(p *peer) bool { return p.record.Zone == c.self.Zone }

func (c *Core) peerUp(now time.Time, e core.PeerUp) {
	id := e.Record.Node
	p := &peer{
		record: e.Record, held: e.Held, knows: e.Held, ready: e.Ready, answered: e.Answered, toldReady: c.ready,
		statuses: make(map[model.Zone]beaconMark),
	}
	if c.peers[id] == nil {
		at, _ := slices.BinarySearch(c.order, id)
		c.order = slices.Insert(c.order, at, id)
	}
	c.dropTransfers(id)
	c.peers[id] = p
	c.memory.heard(now, id.Key(), e.Held.Version)
	c.joinPeerUp(now, p, e.LastHeld)
	// The handshake may have crossed a swap, so the peer may not know it. A
	// peer that dialled a seed, whose name it did not know, gave no answer, and
	// gets one that counts.
	if c.held.Ref().Newer(p.held) || !p.ready {
		c.advertTo(p)
	}
	c.greetWithBeacon(p)
	if id == c.beacons.upstream {
		c.ackSoon(now) // a new connection: the peer doesn't know its child
	}
}

func (c *Core) peerDown(now time.Time, id model.NodeID) {
	p := c.peers[id]
	if p == nil {
		return
	}
	delete(c.peers, id)
	at, _ := slices.BinarySearch(c.order, id)
	c.order = slices.Delete(c.order, at, at+1)
	c.dropTransfers(id)
	c.memory.heard(now, id.Key(), p.held.Version)
	c.upstreamDown(now, id)
}

// dropTransfers ends all transfers with a peer whose connection ended.
func (c *Core) dropTransfers(id model.NodeID) {
	c.serve.drop(id)
	if c.fetch.active && c.fetch.source == id {
		c.fetch.active = false
	}
}

// advertTo tells one peer which version is held.
func (c *Core) advertTo(p *peer) {
	p.toldReady = c.ready
	p.heard(c.held.Ref())
	m := &message.Advert{Held: c.held.Ref(), Ready: c.ready}
	if !p.ready {
		m.Answer = true
		m.LastHeld = c.LastHeldOf(p.id())
	}
	c.send(p.id(), message.Urgent, m)
}

// advertAll tells the peers that are not known to hold the version, and those
// that don't know yet that this node is ready.
func (c *Core) advertAll() {
	if c.held.Version() == 0 {
		return
	}
	for _, id := range c.order {
		p := c.peers[id]
		if c.held.Ref().Newer(p.held) || p.toldReady != c.ready {
			c.advertTo(p)
		}
	}
}

func (c *Core) advertReceived(now time.Time, p *peer, m *message.Advert) {
	p.holds(m.Held)
	p.ready = m.Ready
	c.memory.heard(now, p.id().Key(), m.Held.Version)
	c.raiseHead(now, m.Held)
	if m.Answer {
		p.answered = true
		c.join.floorOwn = max(c.join.floorOwn, m.LastHeld)
	}
	c.joinPeerReady(p)
	if c.fetch.active && c.fetch.source == p.id() && !m.Held.Newer(c.held.Ref()) {
		c.fetch.active = false // the source has nothing newer
		p.asked = false
	}
}

// advertTimer repeats the advert to one neighbour in turn, in case one was
// lost.
func (c *Core) advertTimer(now time.Time) {
	if now.Before(c.nextAdvert) {
		return
	}
	c.nextAdvert = now.Add(c.around(c.cfg.AdvertRefresh))
	if len(c.order) == 0 || c.held.Version() == 0 {
		return
	}
	c.advertIndex++
	p := c.peers[c.order[c.advertIndex%len(c.order)]]
	if !p.held.Newer(c.held.Ref()) {
		c.advertTo(p)
	}
}
