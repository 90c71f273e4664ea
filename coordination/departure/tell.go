package departure

import (
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// scheduleTell schedules the flood of a node's departures if its record shows an incarnation that
// hasn't been told, or offers an instance that has departed.
func (c *Core) scheduleTell(r *endpoint.Record) {
	known := c.table.byNode[r.Node]
	if len(known) == 0 || r.Incarnation < c.table.incarnations[r.Node] {
		return // of no consequence, or outdated
	}
	c.table.incarnations[r.Node] = r.Incarnation
	for _, e := range known {
		if r.Incarnation <= e.incarnation {
			continue
		}
		switch {
		case !r.Live():
		case r.Instance == e.instance && !r.Draining:
			c.offered(e)
			c.tellAt(e, c.now)
			e.told = r.Incarnation
		case r.Incarnation > e.told:
			c.tellAt(e, c.now.Add(time.Duration(c.rng.Int64N(int64(c.cfg.TellDelay)))))
			e.told = r.Incarnation
		}
	}
}

// tellAt schedules a flood, but no sooner than TellInterval after the last one.
func (c *Core) tellAt(e *entry, at time.Time) {
	if earliest := e.toldAt.Add(c.cfg.TellInterval); !e.toldAt.IsZero() && at.Before(earliest) {
		at = earliest
	}
	if e.tellAt.IsZero() || at.Before(e.tellAt) {
		e.tellAt = at
	}
}

// tellDue floods the departures that are due.
func (c *Core) tellDue() {
	for _, e := range c.table.order {
		if !e.tellAt.IsZero() && !c.now.Before(e.tellAt) {
			c.flood(e, "")
		}
	}
}

// flood sends a departure to all peers except from.
func (c *Core) flood(e *entry, from model.NodeID) {
	e.tellAt, e.toldAt = time.Time{}, c.now
	for _, to := range c.peers.All() {
		if to != from {
			c.send(to, []*entry{e})
		}
	}
}

// maxPerMessage bounds the departures of one message.
const maxPerMessage = 256

// sendAll sends all departures to a peer.
func (c *Core) sendAll(to model.NodeID) {
	for part := range slices.Chunk(c.table.order, maxPerMessage) {
		c.send(to, part)
	}
}

// sendReach tells a peer of this zone that has been sent all departures how far back they reach, if
// its own memory reaches back less far.
func (c *Core) sendReach(to model.NodeID, zone model.Zone, remembers time.Duration) {
	if own := c.Remembers(c.now); zone == c.cfg.Zone && own > remembers {
		c.sendRecords(to, &message.Records{RemembersMillis: uint64(own / time.Millisecond)})
	}
}

func (c *Core) send(to model.NodeID, entries []*entry) {
	departures := make([]message.Departure, 0, len(entries))
	for _, e := range entries {
		departures = append(departures, e.departure())
	}
	c.sendTo(to, departures)
}

func (c *Core) sendTo(to model.NodeID, departures []message.Departure) {
	if len(departures) > 0 {
		c.sendRecords(to, &message.Records{Departures: departures})
	}
}

func (c *Core) sendRecords(to model.NodeID, m *message.Records) {
	if c.peers.Has(to) {
		c.out = append(c.out, core.Send{To: to, Priority: message.Urgent, Message: m})
	}
}
