package distribute

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// ZoneReport is the newest status of one zone.
type ZoneReport struct {
	// Status is what the zone's reader reported.
	Status message.ZoneStatus
	// ReceivedAt is when it reached this node. An old report says nothing of
	// now: its zone may be cut off.
	ReceivedAt time.Time
}

// InForce reports whether every live member of the zone serves with the given
// version or a newer one.
func (r ZoneReport) InForce(version uint64) bool {
	s := &r.Status
	return s.Version >= version && s.Live > 0 && s.Holding == s.Live
}

// Status is what a node knows of the fleet.
type Status struct {
	// Head is the newest version known to exist.
	Head snapshot.Ref
	// Held is the version held.
	Held snapshot.Ref
	// Ready says that the node serves with Held.
	Ready bool
	// Zones holds the newest report of each zone heard of, by name.
	Zones []ZoneReport
	// PlatformOK says that the zone's reader could read the platform when it
	// sent its last beacon.
	PlatformOK bool
	// Reader is the zone's reader; empty when none was heard.
	Reader model.NodeID
	// Term is the reader's lease term.
	Term uint64
	// BeaconAt is when the reader's last beacon was received or sent.
	BeaconAt time.Time
	// Upstream is the neighbour towards the reader; empty on the reader.
	Upstream model.NodeID
	// Rejected is the last version that this node refused, or nil.
	Rejected *message.Rejection
}

// Upstream returns the neighbour towards the zone's reader; empty on the reader
// and while there is no way.
func (c *Core) Upstream() model.NodeID { return c.beacons.upstream }

// Rejected returns the last version that this node refused, or nil. It must not
// be changed.
func (c *Core) Rejected() *message.Rejection { return c.last }

// Status returns what the node knows of the fleet.
func (c *Core) Status() Status {
	s := Status{
		Head: c.head, Held: c.held.Ref(), Ready: c.ready,
		Upstream: c.beacons.upstream, Rejected: c.last,
	}
	for _, z := range slices.Sorted(maps.Keys(c.zones)) {
		s.Zones = append(s.Zones, c.zones[z])
	}
	if b := c.beacons.own; b != nil {
		s.PlatformOK, s.Reader, s.Term = b.PlatformOK, b.Reader, b.Term
		s.BeaconAt = c.beacons.ownAt
	}
	return s
}

func (c *Core) zoneStatusReceived(now time.Time, p *peer, m *message.ZoneStatus) {
	old := c.zones[m.Zone].Status
	p.hasStatus(m)
	if !statusMark(m).newer(statusMark(&old)) || m.Reader == c.self.Node {
		return
	}
	c.zones[m.Zone] = ZoneReport{Status: *m, ReceivedAt: now}
	if m.Zone == c.self.Zone {
		c.checkAck(now, m)
	}
	c.relayStatus(now, p.id(), m)
}

// zoneStatus is what the reader knows of its zone's members.
type zoneStatus struct {
	acks       map[model.NodeKey]message.Ack
	rejections map[model.NodeID]message.Rejection
	dirty      bool
	dirtySince time.Time
	sentAt     time.Time
}

func newZoneStatus() zoneStatus {
	return zoneStatus{
		acks:       make(map[model.NodeKey]message.Ack),
		rejections: make(map[model.NodeID]message.Rejection),
	}
}

// changed notes that the status may differ from the one sent.
func (z *zoneStatus) changed(now time.Time) {
	if !z.dirty {
		z.dirtySince = now
	}
	z.dirty = true
}

func (z *zoneStatus) ack(now time.Time, a message.Ack) {
	old, known := z.acks[a.Node]
	if known && !newerAck(a, old) {
		return
	}
	z.acks[a.Node] = a
	z.changed(now)
}

func (z *zoneStatus) reject(now time.Time, r message.Rejection) {
	if z.rejections[r.Node].Version >= r.Version {
		return
	}
	z.rejections[r.Node] = r
	z.changed(now)
}

// forget drops what is known of nodes that are no members any more.
func (z *zoneStatus) forget(live map[model.NodeID]bool) {
	maps.DeleteFunc(z.rejections, func(id model.NodeID, _ message.Rejection) bool { return !live[id] })
	if len(z.acks) <= 2*len(live) {
		return // members that come back keep theirs
	}
	keys := make(map[model.NodeKey]bool, len(live))
	for id := range live {
		keys[id.Key()] = true
	}
	maps.DeleteFunc(z.acks, func(k model.NodeKey, _ message.Ack) bool { return !keys[k] })
}

// report builds the status of the members that are live now.
func (z *zoneStatus) report(version uint64, live map[model.NodeID]bool) *message.ZoneStatus {
	m := &message.ZoneStatus{Version: version, Live: uint32(len(live))}
	for _, id := range slices.Sorted(maps.Keys(live)) {
		if z.acks[id.Key()].Version >= version {
			m.Holding++
			continue
		}
		if len(m.Missing) < message.MaxMissing {
			m.Missing = append(m.Missing, id)
		}
		r, rejected := z.rejections[id]
		if rejected && r.Version == version && len(m.Rejections) < message.MaxMissing {
			m.Rejections = append(m.Rejections, r)
		}
	}
	return m
}

// statusTimer floods the zone's status: at once when the version is in force,
// otherwise after a delay and not often, and now and then in any case.
func (c *Core) statusTimer(now time.Time) {
	z := &c.zone
	if !c.reader.leads || c.live == nil || c.head.Version == 0 {
		return
	}
	repeat := c.reader.sinceStatus >= c.cfg.StatusBeacons
	if !z.dirty && !repeat {
		return
	}
	m := z.report(c.head.Version, c.live)
	complete := m.Holding == m.Live
	waits := now.Before(z.dirtySince.Add(c.cfg.StatusDelay)) || now.Before(z.sentAt.Add(c.cfg.StatusInterval))
	if !complete && waits && !repeat {
		return
	}
	z.dirty = false
	if repeat || !sameStatus(m, c.zones[c.self.Zone].Status) {
		c.floodStatus(now, m)
	}
}

func (c *Core) floodStatus(now time.Time, m *message.ZoneStatus) {
	r := &c.reader
	r.statusSeq++
	r.sinceStatus = 0
	c.zone.sentAt = now
	m.Zone, m.Reader, m.Term, m.Sequence = c.self.Zone, c.self.Node, r.term, r.statusSeq
	c.zones[c.self.Zone] = ZoneReport{Status: *m, ReceivedAt: now}
	c.relayStatus(now, "", m)
}

// sameStatus compares what two statuses say.
func sameStatus(a *message.ZoneStatus, b message.ZoneStatus) bool {
	return a.Version == b.Version && a.Live == b.Live && a.Holding == b.Holding &&
		slices.Equal(a.Missing, b.Missing) && slices.Equal(a.Rejections, b.Rejections)
}
