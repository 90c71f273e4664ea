package distribute

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// borders holds when a status of another zone is passed on to third zones.
type borders map[model.Zone]time.Time

// statusMark orders the statuses of one zone.
func statusMark(m *message.ZoneStatus) beaconMark {
	return beaconMark{term: m.Term, sequence: m.Sequence}
}

// hasStatus notes that the peer has a status.
func (p *peer) hasStatus(m *message.ZoneStatus) {
	if mark := statusMark(m); mark.newer(p.statuses[m.Zone]) {
		p.statuses[m.Zone] = mark
	}
}

// setChild notes whether a neighbour takes statuses from this node. A new child
// gets those that it may lack.
func (c *Core) setChild(p *peer, child bool) {
	added := child && !p.child
	p.child = child
	if !added {
		return
	}
	for _, z := range slices.Sorted(maps.Keys(c.zones)) {
		s := c.zones[z].Status
		c.sendStatus(p, &s)
	}
}

// relayStatus passes a status on. In the zone it follows the ways to the reader
// in both directions, so that it crosses to each node once. The status of the
// own zone goes to other zones at once; that of another one waits, as that
// zone's own gateways mostly sent it there too.
func (c *Core) relayStatus(now time.Time, from model.NodeID, m *message.ZoneStatus) {
	for _, id := range c.order {
		p := c.peers[id]
		switch {
		case id == from:
		case c.sameZone(p) && (p.child || id == c.beacons.upstream):
			c.sendStatus(p, m)
		case !c.sameZone(p) && m.Zone == c.self.Zone:
			c.sendStatus(p, m)
		case !c.sameZone(p) && c.borders[m.Zone].IsZero():
			c.borders[m.Zone] = now.Add(c.cfg.BorderDelay + c.jitter(c.cfg.BorderDelay))
		}
	}
}

// sendStatus sends a status to a neighbour that is not known to have it.
func (c *Core) sendStatus(p *peer, m *message.ZoneStatus) {
	if !statusMark(m).newer(p.statuses[m.Zone]) {
		return
	}
	p.hasStatus(m)
	c.send(p.id(), message.Normal, m)
}

// borderTimer passes on the statuses of other zones that are due.
func (c *Core) borderTimer(now time.Time) {
	for _, z := range slices.Sorted(maps.Keys(c.borders)) {
		if now.Before(c.borders[z]) {
			continue
		}
		delete(c.borders, z)
		s := c.zones[z].Status
		c.crossBorders(&s)
	}
}

// crossBorders sends a status to one neighbour in each zone where none is known
// to have it, and to all neighbours in its own zone that may lack it: that zone
// may be split.
func (c *Core) crossBorders(m *message.ZoneStatus) {
	done := map[model.Zone]bool{c.self.Zone: true}
	for _, id := range c.order {
		p := c.peers[id]
		if !statusMark(m).newer(p.statuses[m.Zone]) && p.record.Zone != m.Zone {
			done[p.record.Zone] = true
		}
	}
	for _, id := range c.order {
		p := c.peers[id]
		if done[p.record.Zone] {
			continue
		}
		done[p.record.Zone] = p.record.Zone != m.Zone
		c.sendStatus(p, m)
	}
}
