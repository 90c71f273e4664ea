package member

import (
	"maps"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// antiEntropy repairs updates that flooding lost. Two peers compare the hashes of their
// tables per zone; where a zone differs, each requests the differing buckets from the
// other.
type antiEntropy struct {
	nextCompare time.Time // when to compare with a random neighbour
	zones       map[model.Zone]*zoneSync
	budget      float64   // bytes of responses that may be sent now
	refilledAt  time.Time // when the budget was last refilled
	lastSweep   time.Time // when expireState last ran
}

// zoneSync is the synchronisation state of one zone.
type zoneSync struct {
	// requestedAt is when the zone was last requested. Only one peer at a time receives a
	// request, so that a joining node doesn't fetch the whole fleet several times.
	requestedAt time.Time
	// source is the peer that sends the initial sync of a zone of which no records were
	// held. It is empty once the sync is complete.
	source model.NodeID
	// idleUntil is when the initial sync counts as complete, unless further records arrive
	// before.
	idleUntil time.Time
	// hardDeadline is when the initial sync counts as complete in any case.
	hardDeadline time.Time
}

// maxSyncTimeouts is the maximum duration of a zone's initial sync, in RequestTimeouts.
const maxSyncTimeouts = 5

// sweepInterval is the time between two sweeps for expired state.
const sweepInterval = time.Minute

// compareDigests sends the digests that are due, to scheduled peers and to a random
// neighbour.
func (c *Core) compareDigests() {
	c.finishInitialSyncs()
	for _, l := range c.links {
		if !l.compareAt.IsZero() && !c.now.Before(l.compareAt) && !l.closing {
			c.sendDigest(l)
		}
	}
	if c.sync.nextCompare.IsZero() {
		c.sync.nextCompare = c.now.Add(c.jitter(c.cfg.DigestInterval))
	}
	if c.now.Before(c.sync.nextCompare) || len(c.links) == 0 {
		return
	}
	c.sync.nextCompare = c.now.Add(c.cfg.DigestInterval)
	if l := c.links[c.rng.IntN(len(c.links))]; !l.closing {
		c.sendDigest(l)
	}
}

func (c *Core) sendDigest(l *link) {
	l.compareAt = time.Time{}
	c.send(l, message.Routine, &message.Digest{Zones: c.Digest()})
}

// handleDigest requests the zones whose hashes differ from a peer's digest, the own zone
// first. An empty digest is a heartbeat.
func (c *Core) handleDigest(from model.NodeID, peerZones []message.ZoneDigest) {
	l := c.link(from)
	if l == nil || l.closing || len(peerZones) == 0 {
		return
	}
	hashes := make(map[model.Zone]uint64, len(peerZones))
	peerZones = peerZones[:min(len(peerZones), maxZones)]
	for _, d := range peerZones {
		hashes[d.Zone] = d.Hash
	}
	if h, listed := hashes[c.self.Zone]; listed && h != c.table.ZoneHash(c.self.Zone) {
		c.requestZone(l, c.self.Zone)
	}
	for _, d := range peerZones {
		if d.Zone != c.self.Zone && d.Hash != c.table.ZoneHash(d.Zone) {
			c.requestZone(l, d.Zone)
		}
	}
	for _, h := range c.table.Digest() {
		if _, listed := hashes[h.Zone]; !listed {
			c.requestZone(l, h.Zone)
		}
	}
}

// requestZone requests the differing buckets of a zone from a peer. If another request for
// the zone may still be in progress, it schedules a digest comparison with the peer
// instead.
func (c *Core) requestZone(l *link, zone model.Zone) {
	z := c.zoneSync(zone)
	if z == nil {
		return
	}
	if !z.requestedAt.IsZero() && c.now.Sub(z.requestedAt) < c.cfg.RequestTimeout {
		c.compareAfterRequest(l)
		return
	}
	z.requestedAt = c.now
	buckets := c.table.BucketHashes(zone)
	if c.lacksZone(zone) {
		z.source = l.node
		z.idleUntil = c.now.Add(c.cfg.RequestTimeout)
		z.hardDeadline = c.now.Add(maxSyncTimeouts * c.cfg.RequestTimeout)
	}
	c.send(l, c.priorityOf(zone), &message.RecordsRequest{Zone: zone, Buckets: buckets})
}

// zoneSync returns the state of a zone, creating it if needed. It returns nil if the zone's
// name is too long or peers have named maxZones zones already.
func (c *Core) zoneSync(zone model.Zone) *zoneSync {
	z := c.sync.zones[zone]
	if z == nil && len(c.sync.zones) < maxZones && len(zone) <= model.MaxNameLength {
		z = &zoneSync{}
		c.sync.zones[zone] = z
	}
	return z
}

// maxZones bounds the zones that are tracked, against hostile input.
const maxZones = 256

// lacksZone reports whether the table holds no record of the zone (of the own zone, no live
// one except this node's), so that the next sync of the zone is its initial one.
func (c *Core) lacksZone(zone model.Zone) bool {
	if zone == c.self.Zone {
		return len(c.overlay.live) <= 1
	}
	return c.table.ZoneHash(zone) == 0
}

// compareAfterRequest schedules a digest comparison with a peer for when the current
// exchange has ended.
func (c *Core) compareAfterRequest(l *link) {
	if l.compareAt.IsZero() {
		l.compareAt = c.now.Add(c.cfg.RequestTimeout + c.jitter(c.cfg.RequestTimeout))
	}
}

// respond sends the records of the requested buckets that differ, and requests the zone in
// return, because the peer may hold newer records as well.
func (c *Core) respond(to model.NodeID, m *message.RecordsRequest) {
	l := c.link(to)
	if l == nil || l.closing {
		return
	}
	recs := c.table.Differing(m.Zone, m.Buckets)
	if !c.takeBudget(recs) {
		c.stats.Deferred++
		c.compareAfterRequest(l)
		return
	}
	c.sendRecords(l, c.priorityOf(m.Zone), recs)
	if len(m.Buckets) > 0 && len(m.Buckets) == endpoint.Buckets {
		c.requestIfDiffering(l, m)
	}
}

// requestIfDiffering requests the zone of a peer's RecordsRequest from that peer if its
// hashes differ from the own ones.
func (c *Core) requestIfDiffering(l *link, m *message.RecordsRequest) {
	var total uint64
	for _, h := range m.Buckets {
		total += h
	}
	if total != 0 && total != c.table.ZoneHash(m.Zone) {
		c.requestZone(l, m.Zone)
	}
}

// takeBudget takes the estimated size of a response from the response budget and reports
// whether it was sufficient. A response larger than the burst size is sent when the budget
// is full.
func (c *Core) takeBudget(recs []endpoint.Record) bool {
	size := 0
	for i := range recs {
		size += estimateSize(&recs[i])
	}
	burst := float64(c.cfg.ResponseBurstBytes)
	if !c.sync.refilledAt.IsZero() {
		gained := c.now.Sub(c.sync.refilledAt).Seconds() * float64(c.cfg.ResponseBytesPerSecond)
		c.sync.budget = min(burst, c.sync.budget+gained)
	}
	c.sync.refilledAt = c.now
	if c.sync.budget < min(burst, float64(size)) {
		return false
	}
	c.sync.budget -= float64(size)
	return true
}

// priorityOf gives the own zone's records a higher priority than those of other zones.
func (c *Core) priorityOf(zone model.Zone) message.Priority {
	if zone == c.self.Zone {
		return message.Normal
	}
	return message.Routine
}

// inInitialSync reports whether a record from a peer belongs to the initial sync of a zone,
// and if so extends the sync's idle timeout. Such records aren't flooded: otherwise each
// joining node would flood all records that it receives.
func (c *Core) inInitialSync(from model.NodeID, zone model.Zone) bool {
	z := c.sync.zones[zone]
	if z == nil || z.source == "" || z.source != from {
		return false
	}
	z.idleUntil = c.now.Add(c.cfg.RequestTimeout)
	return true
}

// finishInitialSyncs ends the initial syncs that are idle or have reached their deadline.
// It then schedules a digest comparison with all neighbours, so that the records received,
// which were not flooded, reach the rest of a group of nodes that connected to another one.
func (c *Core) finishInitialSyncs() {
	done := false
	for _, z := range c.sync.zones {
		over := !c.now.Before(z.idleUntil) || !c.now.Before(z.hardDeadline)
		if z.source != "" && over {
			z.source = ""
			done = true
		}
	}
	if !done {
		return
	}
	for _, l := range c.links {
		l.compareAt = c.now
	}
}

// expireState periodically deletes expired tombstones and synchronisation and refutation
// state.
func (c *Core) expireState() {
	if c.now.Sub(c.sync.lastSweep) < sweepInterval {
		return
	}
	c.sync.lastSweep = c.now
	c.table.Expire(c.now, c.cfg.TombstoneTTL)
	maps.DeleteFunc(c.sync.zones, func(_ model.Zone, z *zoneSync) bool {
		return z.source == "" && c.now.Sub(z.requestedAt) >= sweepInterval
	})
	maps.DeleteFunc(c.detector.trustedUntil, func(_ model.NodeID, until time.Time) bool {
		return !c.now.Before(until)
	})
}

// compareAfterRelay schedules a digest comparison with a peer of another zone to which
// changed records of third zones were not relayed: its zone may have no link to peerZones.
func (c *Core) compareAfterRelay(l *link) {
	if l.compareAt.IsZero() {
		l.compareAt = c.now.Add(c.cfg.RelayCompareDelay)
	}
}

// jitter returns a random duration below d.
func (c *Core) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.rng.Int64N(int64(d)))
}
