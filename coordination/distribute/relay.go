package distribute

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// crossZoneRelays holds when the status of each other zone is to be passed on
// to third zones.
type crossZoneRelays map[model.Zone]time.Time

// statusStamp returns the stamp that orders the statuses of one zone.
func statusStamp(m *message.ZoneStatus) floodStamp {
	return floodStamp{term: m.Term, sequence: m.Sequence}
}

// recordStatus records that the peer has a status.
func (p *peer) recordStatus(m *message.ZoneStatus) {
	if stamp := statusStamp(m); stamp.newer(p.statuses[m.Zone]) {
		p.statuses[m.Zone] = stamp
	}
}

// setChild records whether a neighbour takes statuses from this node. A new
// child is sent those that it may lack.
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

// relayStatus passes a status on. Within the zone it follows the links between
// nodes and their upstreams in both directions, so that it reaches each node
// once. The status of this node's own zone goes to other zones at once. That of
// another zone is delayed, because that zone's own gateways have usually sent
// it there too.
func (c *Core) relayStatus(now time.Time, from model.NodeID, m *message.ZoneStatus) {
	for _, id := range c.peerIDs {
		p := c.peers[id]
		switch {
		case id == from:
		case c.sameZone(p) && (p.child || id == c.beacons.upstream):
			c.sendStatus(p, m)
		case !c.sameZone(p) && m.Zone == c.self.Zone:
			c.sendStatus(p, m)
		case !c.sameZone(p) && c.crossZoneRelays[m.Zone].IsZero():
			c.crossZoneRelays[m.Zone] = now.Add(c.cfg.CrossZoneDelay + c.jitter(c.cfg.CrossZoneDelay))
		}
	}
}

// sendStatus sends a status to a neighbour unless the neighbour is known to
// have it or a newer one.
func (c *Core) sendStatus(p *peer, m *message.ZoneStatus) {
	if !statusStamp(m).newer(p.statuses[m.Zone]) {
		return
	}
	p.recordStatus(m)
	c.send(p.id(), message.Normal, m)
}

// crossZoneTimer passes on the statuses of other zones that are due.
func (c *Core) crossZoneTimer(now time.Time) {
	for _, z := range slices.Sorted(maps.Keys(c.crossZoneRelays)) {
		if now.Before(c.crossZoneRelays[z]) {
			continue
		}
		delete(c.crossZoneRelays, z)
		s := c.zones[z].Status
		c.relayAcrossZones(&s)
	}
}

// relayAcrossZones sends a status to one neighbour in each zone in which no
// neighbour is known to have it. In the zone that the status describes, which
// may be partitioned, it goes to every neighbour that may lack it.
func (c *Core) relayAcrossZones(m *message.ZoneStatus) {
	done := map[model.Zone]bool{c.self.Zone: true}
	for _, id := range c.peerIDs {
		p := c.peers[id]
		if !statusStamp(m).newer(p.statuses[m.Zone]) && p.record.Zone != m.Zone {
			done[p.record.Zone] = true
		}
	}
	for _, id := range c.peerIDs {
		p := c.peers[id]
		if done[p.record.Zone] {
			continue
		}
		done[p.record.Zone] = p.record.Zone != m.Zone
		c.sendStatus(p, m)
	}
}
