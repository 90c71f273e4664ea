package distribute

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// floodStamp orders the beacons of one zone, and likewise its statuses, by
// lease term and sequence number. Only beacons have hops.
type floodStamp struct {
	term     uint64
	sequence uint64
	hops     uint8
}

// newer reports whether a was sent after b.
func (a floodStamp) newer(b floodStamp) bool {
	if a.term != b.term {
		return a.term > b.term
	}
	return a.sequence > b.sequence
}

// betterRoute reports whether the peer that delivered a is on a better path to
// the reader than the one that delivered b: the one with the newer beacon, or
// with fewer hops if both delivered the same beacon.
func (a floodStamp) betterRoute(b floodStamp) bool {
	if a.newer(b) || b.newer(a) {
		return a.newer(b)
	}
	return a.hops < b.hops
}

// beaconState holds the stamp of each zone's newest beacon and the neighbour
// towards the reader.
type beaconState struct {
	newest   map[model.Zone]floodStamp
	own      *message.Beacon // newest beacon of this node's zone, as it is relayed
	ownAt    time.Time
	upstream model.NodeID // neighbour towards the reader; empty on the reader and while there is none
}

func newBeaconState() beaconState { return beaconState{newest: make(map[model.Zone]floodStamp)} }

func (c *Core) beaconReceived(now time.Time, p *peer, m *message.Beacon) {
	stamp := floodStamp{term: m.Term, sequence: m.Sequence, hops: m.Hops}
	own := m.Zone == c.self.Zone
	p.recordHead(m.Head)
	if own && !c.sameZone(p) {
		// A peer in another zone is no path to the reader, because it drops
		// acknowledgements of this zone.
		c.raiseHead(now, m.Head)
		return
	}
	if own && stamp.betterRoute(p.beacon) {
		p.beacon = stamp
	}
	if !stamp.newer(c.beacons.newest[m.Zone]) || m.Reader == c.self.Node {
		return
	}
	c.beacons.newest[m.Zone] = stamp
	newHead := m.Head.Newer(c.head)
	c.raiseHead(now, m.Head)
	relayed := *m
	relayed.Hops++
	if own {
		c.ownBeacon(now, p, &relayed)
	}
	// Relaying every beacon of another zone would cost each node bandwidth for
	// each zone, so only one with a new head is relayed.
	if (own || newHead) && relayed.Hops < c.cfg.MaxHops {
		c.relayBeacon(p.id(), &relayed)
	}
}

// relayBeacon sends a beacon to all neighbours but the one it came from. In the
// beacon's own zone they get it in any case, elsewhere only if they may not
// have learned of its head. A beacon of another zone is not sent back into that
// zone.
func (c *Core) relayBeacon(from model.NodeID, m *message.Beacon) {
	own := m.Zone == c.self.Zone
	for _, id := range c.peerIDs {
		p := c.peers[id]
		toOrigin := !own && p.record.Zone == m.Zone
		if id == from || toOrigin || !m.Head.Newer(p.knownHead) && !(own && c.sameZone(p)) {
			continue
		}
		p.recordHead(m.Head)
		c.send(id, message.Urgent, m)
	}
}

func (c *Core) ownBeacon(now time.Time, p *peer, m *message.Beacon) {
	last := c.beacons.own
	c.beacons.own = m
	c.beacons.ownAt = now
	if !c.keepsUpstream(m) {
		c.setUpstream(now, p.id())
	}
	if last == nil || last.Reader != m.Reader || last.Term != m.Term {
		c.readerChanged(now)
	}
	c.checkStatusesArrive(now)
	c.joinBeacon(now, m)
}

// setUpstream changes the neighbour towards the reader. An empty Acks message
// ends the flow of statuses from the previous one to this node; an
// acknowledgement starts it from the new one.
func (c *Core) setUpstream(now time.Time, id model.NodeID) {
	previous := c.beacons.upstream
	if id == previous {
		return
	}
	c.beacons.upstream = id
	if c.peers[previous] != nil {
		c.send(previous, message.Normal, &message.Acks{Zone: c.self.Zone})
	}
	if id != "" {
		c.scheduleOwnAck(now)
	}
}

// keepsUpstream reports whether the present upstream is still on as good a path
// to the reader as the peer that delivered m, whose Hops is already incremented
// for relaying. The upstream must have delivered this beacon or the preceding
// one, over no more hops. If each beacon moved the upstream to the peer that
// delivered it first, the paths along which acknowledgements are merged would
// keep changing.
func (c *Core) keepsUpstream(m *message.Beacon) bool {
	up := c.peers[c.beacons.upstream]
	if up == nil || up.beacon.term != m.Term {
		return false
	}
	return up.beacon.sequence+1 >= m.Sequence && up.beacon.hops < m.Hops
}

// upstreamDown replaces an upstream that has disconnected by the peer on the
// next best path to the reader.
func (c *Core) upstreamDown(now time.Time, id model.NodeID) {
	if c.beacons.upstream != id {
		return
	}
	var best *peer
	for _, id := range c.peerIDs {
		p := c.peers[id]
		if p.beacon == (floodStamp{}) {
			continue
		}
		if best == nil || p.beacon.betterRoute(best.beacon) {
			best = p
		}
	}
	if best == nil {
		c.setUpstream(now, "")
		return
	}
	c.setUpstream(now, best.id())
	c.readerChanged(now)
}

// sendBeaconToNewPeer sends the newest beacon to a new neighbour in the zone,
// which thereby gets a path to the reader.
func (c *Core) sendBeaconToNewPeer(p *peer) {
	if c.beacons.own != nil && c.sameZone(p) {
		c.send(p.id(), message.Urgent, c.beacons.own)
	}
}

// beaconTimer floods a beacon when this node is the reader and one is due.
func (c *Core) beaconTimer(now time.Time) {
	r := &c.reader
	if !r.isReader || !c.beaconDue(now) {
		return
	}
	r.beaconPending = false
	r.headBeaconAt = time.Time{}
	r.beaconAt = now
	r.nextBeaconAt = now.Add(c.cfg.BeaconInterval)
	r.sequence++
	r.beaconsSinceStatus++
	b := &message.Beacon{
		Zone: c.self.Zone, Reader: c.self.Node, Term: r.term, Sequence: r.sequence,
		Head: c.head, PlatformOK: r.platformOK && now.Sub(r.readAt) <= c.cfg.BeaconInterval,
	}
	c.beacons.own = b
	c.beacons.ownAt = now
	c.setUpstream(now, "")
	c.beacons.newest[c.self.Zone] = floodStamp{term: r.term, sequence: r.sequence}
	c.relayBeacon("", b)
}

// beaconDue reports whether the reader must send a beacon: at each interval,
// when it has just become the reader, and for a new head whose body it did not
// receive in time. A head that it holds is announced by its adverts.
func (c *Core) beaconDue(now time.Time) bool {
	r := &c.reader
	if !now.Before(r.nextBeaconAt) {
		return true
	}
	if r.beaconPending {
		return !now.Before(r.beaconAt.Add(c.cfg.HeadBeaconDelay))
	}
	return c.head.Newer(c.held.Ref()) && !r.headBeaconAt.IsZero() && !now.Before(r.headBeaconAt)
}
