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

// link is the state of a connection to a peer.
type link struct {
	node         model.NodeID
	zone         model.Zone
	connectedAt  time.Time // when the connection was established
	lastReceived time.Time // when a message was last received from the peer
	lastSent     time.Time // when a message was last sent to the peer
	closeAt      time.Time // when to close the link unless it is wanted; zero if not set
	compareAt    time.Time // when to send a digest to the peer; zero if not scheduled
	wanted       bool      // by this node or, according to the table, by the peer
	closing      bool      // Disconnect was emitted
}

// referralSize is the number of members referred to a peer that is rejected.
const referralSize = 8

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
		return // the seeds included the node's own address
	}
	if err := endpoint.Validate(&ev.Record); err != nil {
		c.refuse(id, err)
		c.emit(core.Disconnect{Node: id})
		return
	}
	i, found := slices.BinarySearchFunc(c.links, id, compareLink)
	if !found {
		c.links = slices.Insert(c.links, i, &link{node: id, connectedAt: c.now})
	}
	l := c.links[i]
	l.zone = ev.Record.Zone
	l.lastReceived, l.lastSent = c.now, c.now
	l.closing = false
	c.detector.isolatedSuspicions = 0
	c.dialer.connected(id)
	c.handleRecords(id, []endpoint.Record{ev.Record})
	l.wanted = c.isWanted(l)
	if c.rejectExcessPeer(l) {
		return
	}
	c.handleDigest(id, ev.Digest)
}

// rejectExcessPeer closes a new link that exceeds MaxPeers and isn't wanted. It first sends
// the peer the records of some members that it may dial instead. It reports whether it
// closed the link.
func (c *Core) rejectExcessPeer(l *link) bool {
	if len(c.links) <= c.cfg.MaxPeers || l.wanted {
		return false
	}
	c.stats.PeersRejected++
	var recs []endpoint.Record
	for range min(referralSize, len(c.overlay.live)) {
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
	c.scheduleRedial(l)
}

func (c *Core) disconnect(l *link) {
	l.closing = true
	c.emit(core.Disconnect{Node: l.node})
}

// MarkSent records that another core of this node sends a message to a peer. Any message proves
// the link alive, so the next heartbeat is postponed.
func (c *Core) MarkSent(now time.Time, to model.NodeID) {
	if l := c.link(to); l != nil {
		l.lastSent = now
	}
}

// sendHeartbeats sends an empty Digest on each idle link. It has urgent priority, since it
// is only a few bytes and would arrive too late behind a long transfer.
func (c *Core) sendHeartbeats() {
	for _, l := range c.links {
		if !l.closing && c.now.Sub(l.lastSent) >= c.cfg.HeartbeatInterval {
			c.send(l, message.Urgent, &message.Digest{})
		}
	}
}
