package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// link is a connection to a peer.
type link struct {
	node    model.NodeID
	zone    model.Zone
	since   time.Time // when it came up
	heard   time.Time // last message received
	sent    time.Time // last message sent
	closeAt time.Time // when to close it unless it is wanted; zero for not set
	compare time.Time // when to send a digest to this peer; zero for not
	kept    bool      // wanted by this node or, by its table, by the peer
	closing bool      // Disconnect was asked for
}

// referral is the number of members named to a peer that is turned away.
const referral = 8

func compareLink(l *link, id model.NodeID) int { return cmp.Compare(l.node, id) }

// link returns the link to a peer, or nil.
func (c *Core) link(id model.NodeID) *link {
	i, found := slices.BinarySearchFunc(c.links, id, compareLink)
	if !found {
		return nil
	}
	return c.links[i]
}

func (c *Core) peerUp(ev core.PeerUp) {
	id := ev.Record.Node
	if ev.Welcomed && ev.Incarnation > c.self.Incarnation {
		c.reportConflict(version{ev.Incarnation, 0})
	}
	if id == c.self.Node {
		return // the node's own address was among the seeds
	}
	if err := endpoint.Validate(&ev.Record); err != nil {
		c.refuse(id, err)
		c.act(core.Disconnect{Node: id})
		return
	}
	i, found := slices.BinarySearchFunc(c.links, id, compareLink)
	if !found {
		c.links = slices.Insert(c.links, i, &link{node: id, since: c.now})
	}
	l := c.links[i]
	l.zone = ev.Record.Zone
	l.heard, l.sent = c.now, c.now
	l.closing = false
	c.detector.alone = 0
	c.dialer.connected(id)
	c.takeRecords(id, []endpoint.Record{ev.Record})
	l.kept = c.keeps(l)
	if c.turnAway(l) {
		return
	}
	c.takeDigest(id, ev.Digest)
}

// turnAway closes a new link when there is no room for it, and names some
// members that the peer may try instead.
func (c *Core) turnAway(l *link) bool {
	if len(c.links) <= c.cfg.MaxPeers || l.kept {
		return false
	}
	c.stats.TurnedAway++
	var recs []endpoint.Record
	for range min(referral, len(c.overlay.live)) {
		r, held := c.table.Get(c.overlay.live[c.rng.IntN(len(c.overlay.live))])
		if held {
			recs = append(recs, r)
		}
	}
	c.send(l, message.Urgent, &message.Records{Records: recs})
	c.disconnect(l)
	return true
}

func (c *Core) peerDown(id model.NodeID) {
	i, found := slices.BinarySearchFunc(c.links, id, compareLink)
	if !found {
		return
	}
	l := c.links[i]
	c.links = slices.Delete(c.links, i, i+1)
	c.lostLink(l)
}

func (c *Core) disconnect(l *link) {
	l.closing = true
	c.act(core.Disconnect{Node: l.node})
}

// Sent notes that another core sends a message to a peer. It proves the link
// alive as well as a heartbeat, which is then saved.
func (c *Core) Sent(now time.Time, to model.NodeID) {
	if l := c.link(to); l != nil {
		l.sent = now
	}
}

// sendHeartbeats proves idle links alive by an empty Digest. It is urgent: it
// is a few bytes, and behind a long transfer it would come too late.
func (c *Core) sendHeartbeats() {
	for _, l := range c.links {
		if !l.closing && c.now.Sub(l.sent) >= c.cfg.HeartbeatInterval {
			c.send(l, message.Urgent, &message.Digest{})
		}
	}
}
