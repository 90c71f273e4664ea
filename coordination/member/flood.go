package member

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// flood gathers the changed records that wait to be passed on.
type flood struct {
	pending map[model.NodeID]*change
	due     time.Time // when pending records are sent; zero for none
	last    time.Time // when records were last sent
	stale   []endpoint.Record
}

// change is a record that changed.
type change struct {
	urgent bool
	// from are the peers that have sent it: they need no copy.
	from []model.NodeID
}

// takeRecords merges the records that a peer has sent and corrects the ones
// that are older than what is held.
func (c *Core) takeRecords(from model.NodeID, recs []endpoint.Record) {
	c.flood.stale = nil
	for i := range recs {
		c.merge(from, recs[i])
	}
	if l := c.link(from); l != nil {
		c.sendRecords(l, message.Normal, c.flood.stale)
	}
	c.flood.stale = nil
}

// correct notes a newer record for the peer that sent a stale one.
func (f *flood) correct(r endpoint.Record) {
	if _, waits := f.pending[r.Node]; !waits {
		f.stale = append(f.stale, r)
	}
}

// merge takes one record of a peer into the table.
func (c *Core) merge(from model.NodeID, r endpoint.Record) {
	if err := endpoint.Validate(&r); err != nil {
		c.refuse(from, err)
		return
	}
	if r.Node == c.self.Node {
		c.aboutSelf(from, r)
		return
	}
	c.clampDeath(&r)
	held, known := c.table.Get(r.Node)
	switch {
	case known && held.Supersedes(r):
		c.flood.correct(held)
	case known && !r.Supersedes(held):
		c.sawCopy(from, r.Node)
	case !known && c.expired(r):
	case !known && c.table.Len() >= c.cfg.MaxRecords:
		c.refuse(from, &FullError{Node: r.Node, Max: c.cfg.MaxRecords})
	default:
		c.put(r, held, known, from)
	}
}

// clampDeath bounds the time of death that another node has given.
func (c *Core) clampDeath(r *endpoint.Record) {
	now := c.now.Unix()
	switch {
	case r.Live():
		r.Died = 0
	case r.Died == 0 || r.Died > now:
		r.Died = now
	}
}

// expired reports whether r is a tombstone that is no longer kept.
func (c *Core) expired(r endpoint.Record) bool {
	return !r.Live() && r.Died <= c.now.Add(-c.cfg.TombstoneTTL).Unix()
}

// put stores a record that replaces held and passes it on.
func (c *Core) put(r, held endpoint.Record, known bool, from model.NodeID) {
	if !c.table.Put(r) {
		return
	}
	if !known || changesOverlay(r, held) {
		c.overlay.dirty[r.Zone] = true
	}
	if known && held.Zone != r.Zone {
		c.overlay.dirty[held.Zone] = true
	}
	c.noteStatus(r)
	refuted := known && held.Status != endpoint.StatusAlive
	if !refuted && c.copying(from, r.Zone) {
		return // the neighbours have it; they compare digests afterwards
	}
	c.spread(r.Node, from, r.Status != endpoint.StatusAlive || r.Draining || refuted)
}

// changesOverlay reports whether the links may have to change.
func changesOverlay(r, held endpoint.Record) bool {
	return r.Live() != held.Live() || r.Unready != held.Unready ||
		r.PeerAddr != held.PeerAddr || r.Zone != held.Zone
}

// spread notes that a record is to be passed on to all but from. An urgent one
// goes at once unless records were sent within the last BatchDelay.
func (c *Core) spread(id, from model.NodeID, urgent bool) {
	ch := c.flood.pending[id]
	if ch == nil {
		ch = &change{}
		c.flood.pending[id] = ch
	}
	ch.urgent = ch.urgent || urgent
	ch.from = ch.from[:0] // an earlier version's senders need this one
	if from != "" {
		ch.from = append(ch.from, from)
	}
	due := c.now.Add(c.cfg.BatchDelay)
	if urgent {
		due = c.flood.last.Add(c.cfg.BatchDelay)
	}
	if c.flood.due.IsZero() || due.Before(c.flood.due) {
		c.flood.due = due
	}
}

// sawCopy notes that a peer holds a record that waits to be passed on.
func (c *Core) sawCopy(from, id model.NodeID) {
	if ch := c.flood.pending[id]; ch != nil {
		ch.from = append(ch.from, from)
	}
}

// flushDue sends the waiting records once their time has come.
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
	f.last = c.now
}

// flushTo sends one peer the waiting records that it hasn't sent itself.
func (c *Core) flushTo(l *link, ids []model.NodeID) {
	var urgent, normal []endpoint.Record
	for _, id := range ids {
		ch := c.flood.pending[id]
		r, held := c.table.Get(id)
		if !held || ownsNews(l, &r) || slices.Contains(ch.from, l.node) {
			continue
		}
		if c.skipsRelay(l, &r) {
			c.compareSoon(l)
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

// skipsRelay reports whether a record is not passed on to a peer of another zone because the
// gateways of the record's own zone send it there. In a large fleet links between zones carry
// records of the sender's zone only: otherwise every gateway would pass on each record over all
// of its links to other zones when the fleet starts.
func (c *Core) skipsRelay(l *link, r *endpoint.Record) bool {
	return l.zone != c.self.Zone && r.Zone != c.self.Zone && c.table.Len() > c.cfg.MaxRelayTableSize
}

// ownsNews reports whether the peer made this version of the record itself. A
// suspicion of the peer is news to it: it has to refute.
func ownsNews(l *link, r *endpoint.Record) bool {
	return r.Node == l.node && r.Status == endpoint.StatusAlive
}

// sendRecords sends records in as many messages as their size asks for and
// returns their estimated size in bytes.
func (c *Core) sendRecords(l *link, p message.Priority, recs []endpoint.Record) int {
	size, first, total := 0, 0, 0
	for i := range recs {
		n := sizeOf(&recs[i])
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

// recordOverhead is the size of a record's keys, lengths and numbers on the
// wire in bytes, rounded up.
const recordOverhead = 72

// sizeOf estimates a record's size on the wire in bytes, rounded up.
func sizeOf(r *endpoint.Record) int {
	return recordOverhead + len(r.Node) + len(r.Zone) + len(r.Region) +
		len(r.PeerAddr) + len(r.GateAddr) + len(r.Service)
}
