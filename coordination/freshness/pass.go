package freshness

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// peer is what is known of a connected peer.
type peer struct {
	incarnation uint64
	// first and last are the stamps that were sent to it on this link.
	first, last uint64
	sent        time.Time
	// answered says that a proof has been sent on this link.
	answered bool
	// stamp is the newest one that it has sent, and arrived when it was read; 0 for none.
	stamp   uint64
	arrived time.Time
	// has is the moment of the latest proof that it is known to have.
	has time.Time
}

// up greets a peer with a stamp, so that it can send proofs.
func (c *Core) up(ev core.PeerUp) {
	id := ev.Record.Node
	if p := c.peers[id]; p != nil && p.incarnation == ev.Record.Incarnation {
		return // a second connection to the same process
	}
	p := &peer{incarnation: ev.Record.Incarnation, first: c.stamp()}
	c.peers[id] = p
	c.send(id, p, proof{})
}

// stamp returns the present moment, rounded down.
func (c *Core) stamp() uint64 { return c.base + uint64(c.now.Sub(c.origin)/time.Millisecond) }

// stamped returns the moment of a stamp.
func (c *Core) stamped(s uint64) time.Time {
	return c.origin.Add(time.Duration(s-c.base) * time.Millisecond)
}

// decode reads a peer's stamp and its proof by the own clock.
func (c *Core) decode(from model.NodeID, m *message.Freshness) (proof, bool) {
	p := c.peers[from]
	if p == nil {
		return proof{}, false
	}
	if m.Stamp > p.stamp {
		if m.Echo == 0 && p.stamp != 0 { // it has begun the link anew
			p.sent, p.has, p.answered = time.Time{}, time.Time{}, false
		}
		p.stamp, p.arrived = m.Stamp, c.now
	}
	c.meet(m.Life)
	span := c.cfg.MaxSpan.Milliseconds()
	known := m.Echo >= p.first && m.Echo <= p.last
	if m.Version == 0 || !known || m.Offset < -span || m.Offset > span {
		return proof{}, false
	}
	moment := c.stamped(m.Echo).Add(time.Duration(m.Offset) * time.Millisecond)
	if moment.After(p.has) {
		p.has = moment
	}
	return proof{version: m.Version, moment: moment, from: from}, true
}

// latest returns the latest proof of any version.
func (c *Core) latest() proof {
	best := c.counted
	for _, w := range c.waiting {
		if w.moment.After(best.moment) {
			best = w
		}
	}
	return best
}

// passOn sends what is due to the peers.
func (c *Core) passOn() {
	best := c.latest()
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[id]
		quiet := c.now.Sub(p.sent)
		switch {
		case c.useful(p, best) && (!p.answered || quiet >= c.cfg.SendInterval):
			c.send(id, p, best)
		case quiet >= c.cfg.StampInterval:
			c.send(id, p, proof{})
		}
	}
}

// useful reports whether a proof can be told to a peer and is younger, by Gain, than what it has.
func (c *Core) useful(p *peer, best proof) bool {
	if best.version == 0 || p.stamp == 0 || best.moment.Sub(p.has) < c.cfg.Gain {
		return false
	}
	// One that has run out tells nothing, and the stamp may be too far from it.
	return c.now.Sub(best.moment) < c.cfg.Bound && c.now.Sub(p.arrived) < c.cfg.MaxSpan
}

// send sends a stamp, and a proof where there is one.
func (c *Core) send(to model.NodeID, p *peer, best proof) {
	m := &message.Freshness{Stamp: c.stamp(), Echo: p.stamp, Life: c.life}
	if best.version != 0 {
		m.Version = best.version
		m.Offset = floorMillis(best.moment.Sub(p.arrived))
		p.has, p.answered = best.moment, true
	}
	p.last, p.sent = m.Stamp, c.now
	c.out = append(c.out, core.Send{To: to, Priority: message.Urgent, Message: m})
}

// floorMillis rounds down, so that a proof never gets younger.
func floorMillis(d time.Duration) int64 {
	ms := d.Milliseconds()
	if time.Duration(ms)*time.Millisecond > d {
		ms--
	}
	return ms
}
