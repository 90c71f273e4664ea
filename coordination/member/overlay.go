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

// overlay is the set of links that the node should have. All of it follows
// from the table.
type overlay struct {
	dirty   map[model.Zone]bool // zones whose members changed
	ring    []member            // live members of the own zone in order of key
	live    []model.NodeID      // the same, for the driver
	gateway bool
	// wanted are the peers to be linked to. The value tells whether this
	// node is the one that dials.
	wanted map[model.NodeID]bool
	// order holds the keys of wanted, sorted.
	order []model.NodeID
	// gateways are the gateways of each zone with live members.
	gateways map[model.Zone][]candidate
	// zones are the keys of gateways without the own zone, sorted.
	zones []model.Zone
}

// member is a place on the ring.
type member struct {
	key model.NodeKey
	id  model.NodeID
}

func compareMembers(a, b member) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.id, b.id))
}

// refreshOverlay works out ring, gateways and wanted links from the table, as
// far as its zones have changed.
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

// liveRing returns the live members of the own zone in order of key.
func (c *Core) liveRing() []member {
	ring := make([]member, 0, len(c.overlay.ring)+1)
	c.table.EachLive(c.self.Zone, func(r *endpoint.Record, k model.NodeKey) bool {
		ring = append(ring, member{key: k, id: r.Node})
		return true
	})
	return ring
}

func (c *Core) setRing(ring []member) {
	if slices.Equal(ring, c.overlay.ring) {
		return
	}
	c.overlay.ring = ring
	c.overlay.live = make([]model.NodeID, len(ring))
	for i, m := range ring {
		c.overlay.live[i] = m.id
	}
	c.act(MembersChanged{Live: c.overlay.live})
}

func (c *Core) setGateway(gateway bool) {
	if gateway == c.overlay.gateway {
		return
	}
	c.overlay.gateway = gateway
	c.act(GatewayChanged{Gateway: gateway})
}

// setWanted lists the links that this node wants.
func (c *Core) setWanted() {
	o := &c.overlay
	clear(o.wanted)
	for _, id := range c.ringLinks(member{c.self.Node.Key(), c.self.Node}) {
		o.wanted[id] = true
	}
	o.zones = o.zones[:0]
	for zone, gateways := range o.gateways {
		if zone == c.self.Zone {
			continue
		}
		o.zones = append(o.zones, zone)
		if !o.gateway {
			continue
		}
		for _, gw := range gateways {
			o.wanted[gw.id] = c.self.Node.Key() < gw.key
		}
	}
	slices.Sort(o.zones)
	o.order = slices.AppendSeq(o.order[:0], maps.Keys(o.wanted))
	slices.Sort(o.order)
	c.dialer.forget(o.wanted)
	for _, l := range c.links {
		l.kept = c.keeps(l)
	}
}

// ringLinks returns the peers that a member of the zone dials: its successor
// and the chords, which start at hashes of its name.
func (c *Core) ringLinks(m member) []model.NodeID {
	ids := make([]model.NodeID, 0, 1+c.cfg.ChordLinks)
	for i := range 1 + c.cfg.ChordLinks {
		from := m
		if i > 0 {
			from = member{key: chordStart(m.key, i)}
		}
		id, ok := c.successor(from, m.id, ids)
		if ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// chordStart is where the i-th chord of a member enters the ring.
func chordStart(k model.NodeKey, i int) model.NodeKey {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(k))
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return model.NodeKey(xxhash.Sum64(b[:]))
}

// successor returns the first member after a place on the ring that is neither
// self nor taken.
func (c *Core) successor(from member, self model.NodeID, taken []model.NodeID) (model.NodeID, bool) {
	ring := c.overlay.ring
	i, _ := slices.BinarySearchFunc(ring, from, compareMembers)
	for n := range ring {
		id := ring[(i+n)%len(ring)].id
		if id != self && !slices.Contains(taken, id) {
			return id, true
		}
	}
	return "", false
}

// keeps reports whether this node or, by its table, the peer wants the link.
func (c *Core) keeps(l *link) bool {
	if _, wanted := c.overlay.wanted[l.node]; wanted {
		return true
	}
	if l.zone != c.self.Zone {
		return false
	}
	links := c.ringLinks(member{l.node.Key(), l.node})
	return slices.Contains(links, c.self.Node)
}

// closeUnwanted closes links that neither side has wanted for LinkLinger. The
// last links of all are kept.
func (c *Core) closeUnwanted() {
	if len(c.links) <= c.cfg.ChordLinks {
		return
	}
	for _, l := range c.links {
		switch {
		case l.closing:
		case l.kept:
			l.closeAt = c.now.Add(c.cfg.LinkLinger)
		case l.closeAt.IsZero():
			l.closeAt = c.now.Add(c.cfg.LinkLinger)
		case !c.now.Before(l.closeAt):
			c.disconnect(l)
		}
	}
}
