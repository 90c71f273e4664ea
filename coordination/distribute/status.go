package distribute

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// ZoneReport is the newest status of one zone that a node has received.
type ZoneReport struct {
	// Status is what the zone's reader reported.
	Status message.ZoneStatus
	// ReceivedAt is when the status reached this node. An old one does not
	// describe the present: its zone may be partitioned.
	ReceivedAt time.Time
}

// InForce reports whether every live member of the zone serves with the given
// version or a newer one.
func (r ZoneReport) InForce(version uint64) bool {
	s := &r.Status
	return s.Version >= version && s.Live > 0 && s.Holding == s.Live
}

// Status is the state of the fleet as one node sees it.
type Status struct {
	// Head is the newest version that the node has learned of.
	Head snapshot.Ref
	// Held is the version held.
	Held snapshot.Ref
	// Ready is set when the node serves requests with Held.
	Ready bool
	// Zones holds the newest report of each zone from which one was received,
	// sorted by the zones' names.
	Zones []ZoneReport
	// PlatformOK is set when the zone's reader could read the platform at the time
	// of its last beacon.
	PlatformOK bool
	// Reader is the zone's reader; empty when no beacon of it was received.
	Reader model.NodeID
	// Term is the reader's lease term.
	Term uint64
	// BeaconAt is when the reader's last beacon was received or sent.
	BeaconAt time.Time
	// Upstream is the neighbour towards the reader; empty on the reader and while
	// there is none.
	Upstream model.NodeID
	// Rejected is the last version that this node rejected, or nil.
	Rejected *message.Rejection
}

// Upstream returns the neighbour towards the zone's reader; empty on the reader
// and while there is none.
func (c *Core) Upstream() model.NodeID { return c.beacons.upstream }

// Rejected returns the last version that this node rejected, or nil. It must
// not be changed.
func (c *Core) Rejected() *message.Rejection { return c.lastRejection }

// Status returns the state of the fleet as this node sees it.
func (c *Core) Status() Status {
	s := Status{
		Head: c.head, Held: c.held.Ref(), Ready: c.ready,
		Upstream: c.beacons.upstream, Rejected: c.lastRejection,
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
	p.recordStatus(m)
	if !statusStamp(m).newer(statusStamp(&old)) || m.Reader == c.self.Node {
		return
	}
	c.zones[m.Zone] = ZoneReport{Status: *m, ReceivedAt: now}
	if m.Zone == c.self.Zone {
		c.checkOwnAck(now, m)
	}
	c.relayStatus(now, p.id(), m)
}

// zoneStatus is what the reader has recorded about its zone's members for the
// next status.
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

// markChanged records that the status may differ from the one last sent.
func (z *zoneStatus) markChanged(now time.Time) {
	if !z.dirty {
		z.dirtySince = now
	}
	z.dirty = true
}

func (z *zoneStatus) recordAck(now time.Time, a message.Ack) {
	old, known := z.acks[a.Node]
	if known && !newerAck(a, old) {
		return
	}
	z.acks[a.Node] = a
	z.markChanged(now)
}

func (z *zoneStatus) recordRejection(now time.Time, r message.Rejection) {
	if z.rejections[r.Node].Version >= r.Version {
		return
	}
	z.rejections[r.Node] = r
	z.markChanged(now)
}

// dropFormerMembers drops the records of nodes that are no longer live. Their
// acknowledgements are kept until there are more than twice as many as live
// members.
func (z *zoneStatus) dropFormerMembers(live map[model.NodeID]bool) {
	maps.DeleteFunc(z.rejections, func(id model.NodeID, _ message.Rejection) bool { return !live[id] })
	if len(z.acks) <= 2*len(live) {
		return // members that become live again keep theirs
	}
	keys := make(map[model.NodeKey]bool, len(live))
	for id := range live {
		keys[id.Key()] = true
	}
	maps.DeleteFunc(z.acks, func(k model.NodeKey, _ message.Ack) bool { return !keys[k] })
}

// report returns a status with the acknowledgements and rejections of the live
// members.
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
// otherwise after StatusDelay and at most once in each StatusInterval. After
// StatusBeacons beacons it repeats the status in any case.
func (c *Core) statusTimer(now time.Time) {
	z := &c.zone
	if !c.reader.isReader || c.liveMembers == nil || c.head.Version == 0 {
		return
	}
	repeat := c.reader.beaconsSinceStatus >= c.cfg.StatusBeacons
	if !z.dirty && !repeat {
		return
	}
	m := z.report(c.head.Version, c.liveMembers)
	complete := m.Holding == m.Live
	throttled := now.Before(z.dirtySince.Add(c.cfg.StatusDelay)) || now.Before(z.sentAt.Add(c.cfg.StatusInterval))
	if !complete && throttled && !repeat {
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
	r.beaconsSinceStatus = 0
	c.zone.sentAt = now
	m.Zone, m.Reader, m.Term, m.Sequence = c.self.Zone, c.self.Node, r.term, r.statusSeq
	c.zones[c.self.Zone] = ZoneReport{Status: *m, ReceivedAt: now}
	c.relayStatus(now, "", m)
}

// sameStatus reports whether two statuses have the same content, apart from the
// reader, term and sequence number.
func sameStatus(a *message.ZoneStatus, b message.ZoneStatus) bool {
	return a.Version == b.Version && a.Live == b.Live && a.Holding == b.Holding &&
		slices.Equal(a.Missing, b.Missing) && slices.Equal(a.Rejections, b.Rejections)
}
