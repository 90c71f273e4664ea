package member

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// overlay is the set of links that the node should have, derived entirely from the table.
type overlay struct {
	dirty   map[model.Zone]bool // zones with changed members
	ring    []ringPosition      // live members of the own zone, sorted by key
	live    []model.NodeID      // IDs of ring, for the driver
	gateway bool
	// wanted holds the peers to be linked to. The value is true if this node is the one
	// that dials.
	wanted map[model.NodeID]bool
	// wantedIDs holds the keys of wanted, sorted.
	wantedIDs []model.NodeID
	// gateways holds the gateways of each zone that has live members.
	gateways map[model.Zone][]candidate
	// otherZones holds the keys of gateways except the own zone, sorted.
	otherZones []model.Zone
}

// ringPosition is a position on the hash ring of a zone's members. The id is empty for a
// position that is not a member's.
type ringPosition struct {
	key model.NodeKey
	id  model.NodeID
}

func comparePositions(a, b ringPosition) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.id, b.id))
}

// refreshOverlay recomputes the gateways of the dirty zones, the ring if the own zone is
// dirty, and then the wanted links. Without dirty zones it does nothing.
func (c *Core) refreshOverlay() {
	o := &c.overlay
	if len(o.dirty) == 0 {
		return
	}
	for zone := range o.dirty {
		o.gateways[zone] = c.chooseGateways(zone)
		if len(o.gateways[zone]) == 0 {
			delete(o.gateways, zone)
		}
	}
	if o.dirty[c.self.Zone] {
		c.setRing(c.liveRing())
	}
	clear(o.dirty)
	c.setGateway(isAmong(o.gateways[c.self.Zone], c.self.Node))
	c.setWanted()
}

// liveRing returns the live members of the own zone, sorted by key.
func (c *Core) liveRing() []ringPosition {
	ring := make([]ringPosition, 0, len(c.overlay.ring)+1)
	c.table.EachLive(c.self.Zone, func(r *endpoint.Record, k model.NodeKey) bool {
		ring = append(ring, ringPosition{key: k, id: r.Node})
		return true
	})
	return ring
}

func (c *Core) setRing(ring []ringPosition) {
	if slices.Equal(ring, c.overlay.ring) {
		return
	}
	c.overlay.ring = ring
	c.overlay.live = make([]model.NodeID, len(ring))
	for i, m := range ring {
		c.overlay.live[i] = m.id
	}
	c.emit(MembersChanged{Live: c.overlay.live})
}

func (c *Core) setGateway(gateway bool) {
	if gateway == c.overlay.gateway {
		return
	}
	c.overlay.gateway = gateway
	c.emit(GatewayChanged{Gateway: gateway})
}

// setWanted recomputes which links this node wants.
func (c *Core) setWanted() {
	o := &c.overlay
	clear(o.wanted)
	for _, id := range c.ringLinks(ringPosition{c.self.Node.Key(), c.self.Node}) {
		o.wanted[id] = true
	}
	o.otherZones = o.otherZones[:0]
	for zone, gateways := range o.gateways {
		if zone == c.self.Zone {
			continue
		}
		o.otherZones = append(o.otherZones, zone)
		if !o.gateway {
			continue
		}
		for _, gw := range gateways {
			o.wanted[gw.id] = c.self.Node.Key() < gw.key
		}
	}
	slices.Sort(o.otherZones)
	o.wantedIDs = slices.AppendSeq(o.wantedIDs[:0], maps.Keys(o.wanted))
	slices.Sort(o.wantedIDs)
	c.dialer.prune(o.wanted)
	for _, l := range c.links {
		l.wanted = c.isWanted(l)
	}
}

// ringLinks returns the peers that a member of the own zone dials: its successor, and one
// peer for each chord, whose position is a hash of the member's key.
func (c *Core) ringLinks(m ringPosition) []model.NodeID {
	ids := make([]model.NodeID, 0, 1+c.cfg.ChordLinks)
	for i := range 1 + c.cfg.ChordLinks {
		from := m
		if i > 0 {
			from = ringPosition{key: chordStart(m.key, i)}
		}
		id, ok := c.successor(from, m.id, ids)
		if ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// chordStart returns the ring position from which the i-th chord of a member looks for its
// peer.
func chordStart(k model.NodeKey, i int) model.NodeKey {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(k))
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return model.NodeKey(xxhash.Sum64(b[:]))
}

// successor returns the first member at or after a ring position that is neither self nor
// taken.
func (c *Core) successor(from ringPosition, self model.NodeID, taken []model.NodeID) (model.NodeID, bool) {
	ring := c.overlay.ring
	i, _ := slices.BinarySearchFunc(ring, from, comparePositions)
	for n := range ring {
		id := ring[(i+n)%len(ring)].id
		if id != self && !slices.Contains(taken, id) {
			return id, true
		}
	}
	return "", false
}

// isWanted reports whether this node or, according to the table, the peer wants the link.
func (c *Core) isWanted(l *link) bool {
	if _, wanted := c.overlay.wanted[l.node]; wanted {
		return true
	}
	if l.zone != c.self.Zone {
		return false
	}
	links := c.ringLinks(ringPosition{l.node.Key(), l.node})
	return slices.Contains(links, c.self.Node)
}

// closeUnwanted closes links that neither side has wanted for LinkLinger. It closes none
// while the node has no more than ChordLinks links.
func (c *Core) closeUnwanted() {
	if len(c.links) <= c.cfg.ChordLinks {
		return
	}
	for _, l := range c.links {
		switch {
		case l.closing:
		case l.wanted:
			l.closeAt = c.now.Add(c.cfg.LinkLinger)
		case l.closeAt.IsZero():
			l.closeAt = c.now.Add(c.cfg.LinkLinger)
		case !c.now.Before(l.closeAt):
			c.disconnect(l)
		}
	}
}
