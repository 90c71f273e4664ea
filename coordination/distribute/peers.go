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

// peer is the state of a connected neighbour.
type peer struct {
	record endpoint.Record
	// held is the newest version the peer is known to hold.
	held snapshot.Ref
	// ready is set when the peer serves requests with what it holds.
	ready bool
	// answered is set when the peer has sent the version that it remembers this
	// node to have held.
	answered bool
	// advertisedReady is this node's readiness as last sent to the peer.
	advertisedReady bool
	// fetchPending is set while the peer may still answer a Fetch.
	fetchPending bool
	// skipUntil is when the peer may be fetched from again after a failed fetch.
	skipUntil time.Time
	// parts collects a whole version that the peer is sending.
	parts *assembly
	// beacon is the stamp of the newest own-zone beacon that the peer delivered.
	beacon floodStamp
	// knownHead is the newest version that the peer is known to have learned of.
	knownHead snapshot.Ref
	// child is set when this node is the peer's upstream, so that the peer
	// receives statuses from here.
	child bool
	// statuses are the stamps of the newest statuses that the peer is known to
	// have, by zone.
	statuses map[model.Zone]floodStamp
}

func (p *peer) id() model.NodeID { return p.record.Node }

// recordHeld records that the peer holds a version.
func (p *peer) recordHeld(ref snapshot.Ref) {
	if ref.Newer(p.held) {
		p.held = ref
	}
	p.recordHead(ref)
}

// recordHead records that the peer has learned of a version.
func (p *peer) recordHead(ref snapshot.Ref) {
	if ref.Newer(p.knownHead) {
		p.knownHead = ref
	}
}

func (c *Core) sameZone(p *peer) bool { return p.record.Zone == c.self.Zone }

func (c *Core) peerUp(now time.Time, e core.PeerUp) {
	id := e.Record.Node
	p := &peer{
		record: e.Record, held: e.Held, knownHead: e.Held, ready: e.Ready, answered: e.LastHeldValid, advertisedReady: c.ready,
		statuses: make(map[model.Zone]floodStamp),
	}
	if c.peers[id] == nil {
		at, _ := slices.BinarySearch(c.peerIDs, id)
		c.peerIDs = slices.Insert(c.peerIDs, at, id)
	}
	c.dropTransfers(id)
	c.peers[id] = p
	c.heldVersions.update(now, id.Key(), e.Held.Version)
	c.joinPeerUp(now, p, e.LastHeld)
	// The version held may have changed during the handshake without the peer
	// learning of it. The Hello to a seed whose name is not known carries no
	// answer for that seed, so a peer that is not ready gets one with an advert.
	if c.held.Ref().Newer(p.held) || !p.ready {
		c.advertTo(p)
	}
	c.sendBeaconToNewPeer(p)
	if id == c.beacons.upstream {
		c.scheduleOwnAck(now) // on a new connection the peer does not yet treat this node as a child
	}
}

func (c *Core) peerDown(now time.Time, id model.NodeID) {
	p := c.peers[id]
	if p == nil {
		return
	}
	delete(c.peers, id)
	at, _ := slices.BinarySearch(c.peerIDs, id)
	c.peerIDs = slices.Delete(c.peerIDs, at, at+1)
	c.dropTransfers(id)
	c.heldVersions.update(now, id.Key(), p.held.Version)
	c.upstreamDown(now, id)
}

// dropTransfers ends all transfers over a connection to a peer that has ended.
func (c *Core) dropTransfers(id model.NodeID) {
	c.serve.drop(id)
	if c.fetch.active && c.fetch.source == id {
		c.fetch.active = false
	}
}

// advertTo sends one peer an advert of the version held. A peer that is not
// ready also gets the version that it is recorded to have held.
func (c *Core) advertTo(p *peer) {
	p.advertisedReady = c.ready
	p.recordHead(c.held.Ref())
	m := &message.Advert{Held: c.held.Ref(), Ready: c.ready}
	if !p.ready {
		m.HasLastHeld = true
		m.LastHeld = c.LastHeldOf(p.id())
	}
	c.send(p.id(), message.Urgent, m)
}

// advertAll sends an advert to the peers that are not known to hold the
// version, and to those whose last advert has an outdated readiness of this
// node.
func (c *Core) advertAll() {
	if c.held.Version() == 0 {
		return
	}
	for _, id := range c.peerIDs {
		p := c.peers[id]
		if c.held.Ref().Newer(p.held) || p.advertisedReady != c.ready {
			c.advertTo(p)
		}
	}
}

func (c *Core) advertReceived(now time.Time, p *peer, m *message.Advert) {
	p.recordHeld(m.Held)
	p.ready = m.Ready
	c.heldVersions.update(now, p.id().Key(), m.Held.Version)
	c.raiseHead(now, m.Held)
	if m.HasLastHeld {
		p.answered = true
		c.join.minFromPeers = max(c.join.minFromPeers, m.LastHeld)
	}
	c.joinPeerReady(p)
	if c.fetch.active && c.fetch.source == p.id() && !m.Held.Newer(c.held.Ref()) {
		c.fetch.active = false // the source has nothing newer
		p.fetchPending = false
	}
}

// advertTimer repeats the advert to one neighbour in turn, in case an earlier
// one was lost.
func (c *Core) advertTimer(now time.Time) {
	if now.Before(c.nextAdvertAt) {
		return
	}
	c.nextAdvertAt = now.Add(c.jittered(c.cfg.AdvertRefresh))
	if len(c.peerIDs) == 0 || c.held.Version() == 0 {
		return
	}
	c.advertIndex++
	p := c.peers[c.peerIDs[c.advertIndex%len(c.peerIDs)]]
	if !p.held.Newer(c.held.Ref()) {
		c.advertTo(p)
	}
}
