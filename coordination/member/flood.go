package member

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// flood collects the changed records that are queued to be sent to the peers.
type flood struct {
	pending     map[model.NodeID]*change
	due         time.Time         // when pending records are sent; zero for none
	lastFlush   time.Time         // when pending records were last sent
	corrections []endpoint.Record // newer records for the peer whose message is being handled
}

// change describes a queued record.
type change struct {
	urgent bool
	// senders are the peers that sent this version and need no copy.
	senders []model.NodeID
}

// handleRecords merges records received from a peer and replies with the table's version of
// each record that is older than it.
func (c *Core) handleRecords(from model.NodeID, recs []endpoint.Record) {
	c.flood.corrections = nil
	for i := range recs {
		c.merge(from, recs[i])
	}
	if l := c.link(from); l != nil {
		c.sendRecords(l, message.Normal, c.flood.corrections)
	}
	c.flood.corrections = nil
}

// addCorrection adds a newer record to the reply to a peer that sent a stale version. A
// record that is queued for flooding is omitted, since the peer receives it anyway.
func (f *flood) addCorrection(r endpoint.Record) {
	if _, queued := f.pending[r.Node]; !queued {
		f.corrections = append(f.corrections, r)
	}
}

// merge merges one record received from a peer into the table.
func (c *Core) merge(from model.NodeID, r endpoint.Record) {
	if err := endpoint.Validate(&r); err != nil {
		c.refuse(from, err)
		return
	}
	if r.Node == c.self.Node {
		c.mergeSelf(from, r)
		return
	}
	c.clampDeath(&r)
	held, exists := c.table.Get(r.Node)
	switch {
	case exists && held.Supersedes(r):
		c.flood.addCorrection(held)
	case exists && !r.Supersedes(held):
		c.addSender(from, r.Node)
	case !exists && c.expired(r):
	case !exists && c.table.Len() >= c.cfg.MaxRecords:
		c.refuse(from, &FullError{Node: r.Node, Max: c.cfg.MaxRecords})
	default:
		c.put(r, held, exists, from)
	}
}

// clampDeath bounds the time of death that another node has set: now if it is missing or in
// the future, zero for a live node.
func (c *Core) clampDeath(r *endpoint.Record) {
	now := c.now.Unix()
	switch {
	case r.Live():
		r.Died = 0
	case r.Died == 0 || r.Died > now:
		r.Died = now
	}
}

// expired reports whether r is a tombstone older than TombstoneTTL.
func (c *Core) expired(r endpoint.Record) bool {
	return !r.Live() && r.Died <= c.now.Add(-c.cfg.TombstoneTTL).Unix()
}

// put stores a record that supersedes held and queues it for flooding, unless it arrived in
// an initial sync and isn't a refutation.
func (c *Core) put(r, held endpoint.Record, exists bool, from model.NodeID) {
	if !c.table.Put(r) {
		return
	}
	if !exists || changesOverlay(r, held) {
		c.overlay.dirty[r.Zone] = true
	}
	if exists && held.Zone != r.Zone {
		c.overlay.dirty[held.Zone] = true
	}
	c.trackSuspicion(r)
	refuted := exists && held.Status != endpoint.StatusAlive
	if !refuted && c.inInitialSync(from, r.Zone) {
		return // presumably the neighbours hold it; digests are compared after the sync
	}
	c.queueFlood(r.Node, from, r.Status != endpoint.StatusAlive || r.Draining || refuted)
}

// changesOverlay reports whether the change from held to r may affect the wanted links.
func changesOverlay(r, held endpoint.Record) bool {
	return r.Live() != held.Live() || r.Unready != held.Unready ||
		r.PeerAddr != held.PeerAddr || r.Zone != held.Zone
}

// queueFlood queues a record to be sent to all peers except from. An urgent record is sent
// immediately unless records were sent within the last BatchDelay.
func (c *Core) queueFlood(id, from model.NodeID, urgent bool) {
	ch := c.flood.pending[id]
	if ch == nil {
		ch = &change{}
		c.flood.pending[id] = ch
	}
	ch.urgent = ch.urgent || urgent
	ch.senders = ch.senders[:0] // peers that sent an earlier version need this one
	if from != "" {
		ch.senders = append(ch.senders, from)
	}
	due := c.now.Add(c.cfg.BatchDelay)
	if urgent {
		due = c.flood.lastFlush.Add(c.cfg.BatchDelay)
	}
	if c.flood.due.IsZero() || due.Before(c.flood.due) {
		c.flood.due = due
	}
}

// addSender records that a peer already holds the queued version of a record.
func (c *Core) addSender(from, id model.NodeID) {
	if ch := c.flood.pending[id]; ch != nil {
		ch.senders = append(ch.senders, from)
	}
}

// flushDue sends the queued records when they are due.
func (c *Core) flushDue() {
	f := &c.flood
	if f.due.IsZero() || c.now.Before(f.due) {
		return
	}
	ids := slices.Sorted(maps.Keys(f.pending))
	for _, l := range c.links {
		if !l.closing {
			c.flushTo(l, ids)
		}
	}
	clear(f.pending)
	f.due = time.Time{}
	f.lastFlush = c.now
}

// flushTo sends to one peer the queued records that it lacks.
func (c *Core) flushTo(l *link, ids []model.NodeID) {
	var urgent, normal []endpoint.Record
	for _, id := range ids {
		ch := c.flood.pending[id]
		r, held := c.table.Get(id)
		if !held || isOrigin(l, &r) || slices.Contains(ch.senders, l.node) {
			continue
		}
		if c.skipsRelay(l, &r) {
			c.compareAfterRelay(l)
			continue
		}
		if ch.urgent {
			urgent = append(urgent, r)
		} else {
			normal = append(normal, r)
		}
	}
	c.sendRecords(l, message.Urgent, urgent)
	c.sendRecords(l, message.Normal, normal)
}

// skipsRelay reports whether a record is not sent to a peer of another zone because the
// gateways of the record's own zone send it there. In a large fleet, links between zones
// carry records of the sender's zone only: otherwise, when the fleet starts, every gateway
// would relay each record over all its links to other zones.
func (c *Core) skipsRelay(l *link, r *endpoint.Record) bool {
	return l.zone != c.self.Zone && r.Zone != c.self.Zone && c.table.Len() > c.cfg.MaxRelayTableSize
}

// isOrigin reports whether the peer itself issued this version of the record. A suspicion
// of the peer was issued by another node, and the peer must receive it in order to refute
// it.
func isOrigin(l *link, r *endpoint.Record) bool {
	return r.Node == l.node && r.Status == endpoint.StatusAlive
}

// sendRecords sends records, split into messages of at most MaxMessageBytes, and returns
// their estimated total size in bytes.
func (c *Core) sendRecords(l *link, p message.Priority, recs []endpoint.Record) int {
	size, first, total := 0, 0, 0
	for i := range recs {
		n := estimateSize(&recs[i])
		if size > 0 && size+n > c.cfg.MaxMessageBytes {
			c.send(l, p, &message.Records{Records: recs[first:i:i]})
			first, size = i, 0
		}
		size += n
		total += n
	}
	if size > 0 {
		c.send(l, p, &message.Records{Records: recs[first:]})
	}
	return total
}

// recordOverhead is the encoded size in bytes of a record's keys, lengths and numbers,
// rounded up.
const recordOverhead = 72

// estimateSize estimates a record's encoded size in bytes, rounded up.
func estimateSize(r *endpoint.Record) int {
	return recordOverhead + len(r.Node) + len(r.Zone) + len(r.Region) +
		len(r.PeerAddr) + len(r.GateAddr) + len(r.Service)
}
