package member

import (
	"maps"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// antiEntropy repairs what flooding lost. Two peers compare the hashes of
// their tables; where a zone differs, each asks the other for the buckets that
// differ.
type antiEntropy struct {
	next   time.Time // when to compare with a random neighbour
	zones  map[model.Zone]*zoneSync
	budget float64   // bytes of answers left
	filled time.Time // when the budget was last filled up
	sweep  time.Time // when old state was last forgotten
}

// zoneSync is the state of the exchange about one zone.
type zoneSync struct {
	// asked is when the zone was last asked for: one peer at a time, so that
	// a joiner doesn't fetch the fleet several times over.
	asked time.Time
	// source is the peer that sends the first copy of a zone of which nothing
	// was held. It is empty once the copy is whole.
	source model.NodeID
	// quiet is when the first copy counts as whole, unless more of it comes.
	quiet time.Time
	// limit is when the first copy counts as whole in any case.
	limit time.Time
}

// copyTimeouts is the longest time that a first copy of a zone takes, in
// RequestTimeouts.
const copyTimeouts = 5

// sweepInterval is the time between two searches for state to forget.
const sweepInterval = time.Minute

// compareDigests sends the digests that are due.
func (c *Core) compareDigests() {
	c.finishCopies()
	for _, l := range c.links {
		if !l.compare.IsZero() && !c.now.Before(l.compare) && !l.closing {
			c.sendDigest(l)
		}
	}
	if c.sync.next.IsZero() {
		c.sync.next = c.now.Add(c.jitter(c.cfg.DigestInterval))
	}
	if c.now.Before(c.sync.next) || len(c.links) == 0 {
		return
	}
	c.sync.next = c.now.Add(c.cfg.DigestInterval)
	if l := c.links[c.rng.IntN(len(c.links))]; !l.closing {
		c.sendDigest(l)
	}
}

func (c *Core) sendDigest(l *link) {
	l.compare = time.Time{}
	c.send(l, message.Routine, &message.Digest{Zones: c.Digest()})
}

// takeDigest asks a peer for the zones in which it differs, the own zone
// first. An empty digest is a heartbeat.
func (c *Core) takeDigest(from model.NodeID, theirs []message.ZoneDigest) {
	l := c.link(from)
	if l == nil || l.closing || len(theirs) == 0 {
		return
	}
	hashes := make(map[model.Zone]uint64, len(theirs))
	theirs = theirs[:min(len(theirs), maxZones)]
	for _, d := range theirs {
		hashes[d.Zone] = d.Hash
	}
	if h, listed := hashes[c.self.Zone]; listed && h != c.table.ZoneHash(c.self.Zone) {
		c.ask(l, c.self.Zone)
	}
	for _, d := range theirs {
		if d.Zone != c.self.Zone && d.Hash != c.table.ZoneHash(d.Zone) {
			c.ask(l, d.Zone)
		}
	}
	for _, h := range c.table.Digest() {
		if _, listed := hashes[h.Zone]; !listed {
			c.ask(l, h.Zone)
		}
	}
}

// ask requests the buckets of a zone that differ at the peer.
func (c *Core) ask(l *link, zone model.Zone) {
	z := c.zoneSync(zone)
	if z == nil {
		return
	}
	if !z.asked.IsZero() && c.now.Sub(z.asked) < c.cfg.RequestTimeout {
		c.compareLater(l)
		return
	}
	z.asked = c.now
	buckets := c.table.BucketHashes(zone)
	if c.knowsOnlySelf(zone) {
		z.source = l.node
		z.quiet = c.now.Add(c.cfg.RequestTimeout)
		z.limit = c.now.Add(copyTimeouts * c.cfg.RequestTimeout)
	}
	c.send(l, c.priorityOf(zone), &message.RecordsRequest{Zone: zone, Buckets: buckets})
}

// zoneSync returns the state of a zone, or nil when a peer has named more
// zones than there can be.
func (c *Core) zoneSync(zone model.Zone) *zoneSync {
	z := c.sync.zones[zone]
	if z == nil && len(c.sync.zones) < maxZones && len(zone) <= model.MaxNameLength {
		z = &zoneSync{}
		c.sync.zones[zone] = z
	}
	return z
}

// maxZones bounds the zones that are asked for, against hostile input.
const maxZones = 256

// knowsOnlySelf reports whether no other record of the zone is held that
// could be worth keeping in step with the neighbours.
func (c *Core) knowsOnlySelf(zone model.Zone) bool {
	if zone == c.self.Zone {
		return len(c.overlay.live) <= 1
	}
	return c.table.ZoneHash(zone) == 0
}

// compareLater notes to compare with a peer once the present exchange is over.
func (c *Core) compareLater(l *link) {
	if l.compare.IsZero() {
		l.compare = c.now.Add(c.cfg.RequestTimeout + c.jitter(c.cfg.RequestTimeout))
	}
}

// answer sends the records of the buckets that differ, and asks back: the
// peer may hold newer ones as well.
func (c *Core) answer(to model.NodeID, m *message.RecordsRequest) {
	l := c.link(to)
	if l == nil || l.closing {
		return
	}
	recs := c.table.Differing(m.Zone, m.Buckets)
	if !c.takeBudget(recs) {
		c.stats.Deferred++
		c.compareLater(l)
		return
	}
	c.sendRecords(l, c.priorityOf(m.Zone), recs)
	if len(m.Buckets) > 0 && len(m.Buckets) == endpoint.Buckets {
		c.askBack(l, m)
	}
}

// askBack asks for the zone of a request whose hashes differ from the own.
func (c *Core) askBack(l *link, m *message.RecordsRequest) {
	var total uint64
	for _, h := range m.Buckets {
		total += h
	}
	if total != 0 && total != c.table.ZoneHash(m.Zone) {
		c.ask(l, m.Zone)
	}
}

// takeBudget reports whether the answers of the last seconds leave room for
// these records. An answer larger than the burst goes when the budget is full.
func (c *Core) takeBudget(recs []endpoint.Record) bool {
	size := 0
	for i := range recs {
		size += sizeOf(&recs[i])
	}
	burst := float64(c.cfg.AnswerBurstBytes)
	if !c.sync.filled.IsZero() {
		gained := c.now.Sub(c.sync.filled).Seconds() * float64(c.cfg.AnswerBytesPerSecond)
		c.sync.budget = min(burst, c.sync.budget+gained)
	}
	c.sync.filled = c.now
	if c.sync.budget < min(burst, float64(size)) {
		return false
	}
	c.sync.budget -= float64(size)
	return true
}

// priorityOf puts the own zone's records before those of other zones.
func (c *Core) priorityOf(zone model.Zone) message.Priority {
	if zone == c.self.Zone {
		return message.Normal
	}
	return message.Routine
}

// copying reports whether a record belongs to the first copy of a zone. Such
// records aren't passed on: a joiner would flood the fleet with what it knows.
func (c *Core) copying(from model.NodeID, zone model.Zone) bool {
	z := c.sync.zones[zone]
	if z == nil || z.source == "" || z.source != from {
		return false
	}
	z.quiet = c.now.Add(c.cfg.RequestTimeout)
	return true
}

// finishCopies ends the first copies that have become quiet. All neighbours
// compare then, so that a group that met another one passes it on.
func (c *Core) finishCopies() {
	done := false
	for _, z := range c.sync.zones {
		over := !c.now.Before(z.quiet) || !c.now.Before(z.limit)
		if z.source != "" && over {
			z.source = ""
			done = true
		}
	}
	if !done {
		return
	}
	for _, l := range c.links {
		l.compare = c.now
	}
}

// sweepOld forgets the dead of long ago and what is only kept for a while.
func (c *Core) sweepOld() {
	if c.now.Sub(c.sync.sweep) < sweepInterval {
		return
	}
	c.sync.sweep = c.now
	c.table.Expire(c.now, c.cfg.TombstoneTTL)
	maps.DeleteFunc(c.sync.zones, func(_ model.Zone, z *zoneSync) bool {
		return z.source == "" && c.now.Sub(z.asked) >= sweepInterval
	})
	maps.DeleteFunc(c.detector.refuted, func(_ model.NodeID, until time.Time) bool {
		return !c.now.Before(until)
	})
}

// compareSoon schedules a comparison with a peer of another zone after changed records of third
// zones were not passed on to it: its zone may have no link to theirs.
func (c *Core) compareSoon(l *link) {
	if l.compare.IsZero() {
		l.compare = c.now.Add(c.cfg.RelayCompareDelay)
	}
}

// jitter returns a random duration below d.
func (c *Core) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.rng.Int64N(int64(d)))
}
