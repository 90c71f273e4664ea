package distribute

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// beaconMark orders the beacons of one zone.
type beaconMark struct {
	term     uint64
	sequence uint64
	hops     uint8
}

func (a beaconMark) newer(b beaconMark) bool {
	if a.term != b.term {
		return a.term > b.term
	}
	return a.sequence > b.sequence
}

// better reports whether the peer that delivered a is the better way to the
// reader than the one that delivered b: the newer beacon, then the fewer hops.
func (a beaconMark) better(b beaconMark) bool {
	if a.newer(b) || b.newer(a) {
		return a.newer(b)
	}
	return a.hops < b.hops
}

// beacons holds the newest beacon of each zone and the way to the reader.
type beacons struct {
	marks    map[model.Zone]beaconMark
	own      *message.Beacon // newest of the own zone, as it is passed on
	ownAt    time.Time
	upstream model.NodeID // who delivered it first; empty: not known
}

func newBeacons() beacons { return beacons{marks: make(map[model.Zone]beaconMark)} }

func (c *Core) beaconReceived(now time.Time, p *peer, m *message.Beacon) {
	mark := beaconMark{term: m.Term, sequence: m.Sequence, hops: m.Hops}
	own := m.Zone == c.self.Zone
	p.heard(m.Head)
	if own && !c.sameZone(p) {
		// Another zone is no way to the reader: it drops acknowledgements.
		c.raiseHead(now, m.Head)
		return
	}
	if own && mark.better(p.beacon) {
		p.beacon = mark
	}
	if !mark.newer(c.beacons.marks[m.Zone]) || m.Reader == c.self.Node {
		return
	}
	c.beacons.marks[m.Zone] = mark
	news := m.Head.Newer(c.head)
	c.raiseHead(now, m.Head)
	relayed := *m
	relayed.Hops++
	if own {
		c.ownBeacon(now, p, &relayed)
	}
	// Idle beacons of other zones would cost every node bytes for each zone;
	// only a new head is worth passing on.
	if (own || news) && relayed.Hops < c.cfg.MaxHops {
		c.relayBeacon(p.id(), &relayed)
	}
}

// relayBeacon passes a beacon on to all but the sender: in its own zone in any
// case, elsewhere to those that may not know the head. From outside it doesn't
// go back into its own zone.
func (c *Core) relayBeacon(from model.NodeID, m *message.Beacon) {
	own := m.Zone == c.self.Zone
	for _, id := range c.order {
		p := c.peers[id]
		back := !own && p.record.Zone == m.Zone
		if id == from || back || !m.Head.Newer(p.knows) && !(own && c.sameZone(p)) {
			continue
		}
		p.heard(m.Head)
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
	c.checkSilence(now)
	c.joinBeacon(now, m)
}

// setUpstream changes the way to the reader. The one before need not send
// statuses here any more, and the new one learns of it by an acknowledgement.
func (c *Core) setUpstream(now time.Time, id model.NodeID) {
	before := c.beacons.upstream
	if id == before {
		return
	}
	c.beacons.upstream = id
	if c.peers[before] != nil {
		c.send(before, message.Normal, &message.Acks{Zone: c.self.Zone})
	}
	if id != "" {
		c.ackSoon(now)
	}
}

// keepsUpstream reports whether the present upstream is still as good a way to
// the reader as the peer that delivered m, as it is passed on. It delivered this
// beacon or the one before, over no more hops. Changing at each beacon to
// whoever was first would send what is summed on the way along ever new ways.
func (c *Core) keepsUpstream(m *message.Beacon) bool {
	up := c.peers[c.beacons.upstream]
	if up == nil || up.beacon.term != m.Term {
		return false
	}
	return up.beacon.sequence+1 >= m.Sequence && up.beacon.hops < m.Hops
}

// upstreamDown picks the next best way to the reader.
func (c *Core) upstreamDown(now time.Time, id model.NodeID) {
	if c.beacons.upstream != id {
		return
	}
	var best *peer
	for _, id := range c.order {
		p := c.peers[id]
		if p.beacon == (beaconMark{}) {
			continue
		}
		if best == nil || p.beacon.better(best.beacon) {
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

// greetWithBeacon shows a new neighbour of the zone the way to the reader.
func (c *Core) greetWithBeacon(p *peer) {
	if c.beacons.own != nil && c.sameZone(p) {
		c.send(p.id(), message.Urgent, c.beacons.own)
	}
}

// beaconTimer floods the reader's beacon when it is due.
func (c *Core) beaconTimer(now time.Time) {
	r := &c.reader
	if !r.leads || !c.beaconDue(now) {
		return
	}
	r.beaconNow = false
	r.headAt = time.Time{}
	r.beaconAt = now
	r.nextBeacon = now.Add(c.cfg.BeaconInterval)
	r.sequence++
	r.sinceStatus++
	b := &message.Beacon{
		Zone: c.self.Zone, Reader: c.self.Node, Term: r.term, Sequence: r.sequence,
		Head: c.head, PlatformOK: r.platformOK && now.Sub(r.readAt) <= c.cfg.BeaconInterval,
	}
	c.beacons.own = b
	c.beacons.ownAt = now
	c.setUpstream(now, "")
	c.beacons.marks[c.self.Zone] = beaconMark{term: r.term, sequence: r.sequence}
	c.relayBeacon("", b)
}

// beaconDue reports whether a beacon is to be sent: at each interval, by a new
// reader, and for a new head that this node doesn't hold. What it holds, its
// adverts tell.
func (c *Core) beaconDue(now time.Time) bool {
	r := &c.reader
	if !now.Before(r.nextBeacon) {
		return true
	}
	if r.beaconNow {
		return !now.Before(r.beaconAt.Add(c.cfg.HeadDelay))
	}
	return c.head.Newer(c.held.Ref()) && !r.headAt.IsZero() && !now.Before(r.headAt)
}
