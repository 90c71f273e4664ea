package freshness

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// peer is the state kept for a connected peer.
type peer struct {
	incarnation uint64
	// firstStamp and lastStamp delimit the stamps that were sent to it on this link.
	firstStamp, lastStamp uint64
	// lastSent is when the last message was sent to it.
	lastSent time.Time
	// proofSent is set once a proof has been sent on this link.
	proofSent bool
	// stamp is the newest stamp received from it, and stampArrived when that was received;
	// 0 for none.
	stamp        uint64
	stampArrived time.Time
	// proofMoment is the moment of the latest proof that the peer is known to have.
	proofMoment time.Time
}

// peerUp sends a new peer a stamp, so that the peer can send proofs.
func (c *Core) peerUp(ev core.PeerUp) {
	id := ev.Record.Node
	if p := c.peers[id]; p != nil && p.incarnation == ev.Record.Incarnation {
		return // a second connection to the same process
	}
	p := &peer{incarnation: ev.Record.Incarnation, firstStamp: c.stamp()}
	c.peers[id] = p
	c.send(id, p, proof{})
}

// stamp returns the stamp of the present moment, rounded down to a millisecond.
func (c *Core) stamp() uint64 { return c.stampBase + uint64(c.now.Sub(c.origin)/time.Millisecond) }

// stampTime returns the moment of one of the node's own stamps.
func (c *Core) stampTime(s uint64) time.Time {
	return c.origin.Add(time.Duration(s-c.stampBase) * time.Millisecond)
}

// decode records a peer's stamp and returns the proof in its message, dated by the node's own
// clock; false if there is no valid one.
func (c *Core) decode(from model.NodeID, m *message.Freshness) (proof, bool) {
	p := c.peers[from]
	if p == nil {
		return proof{}, false
	}
	if m.Stamp > p.stamp {
		if m.Echo == 0 && p.stamp != 0 { // the peer has re-established the link
			p.lastSent, p.proofMoment, p.proofSent = time.Time{}, time.Time{}, false
		}
		p.stamp, p.stampArrived = m.Stamp, c.now
	}
	c.observeEpoch(m.Epoch)
	maxOffset := c.cfg.MaxStampAge.Milliseconds()
	known := m.Echo >= p.firstStamp && m.Echo <= p.lastStamp
	if m.Version == 0 || !known || m.Offset < -maxOffset || m.Offset > maxOffset {
		return proof{}, false
	}
	moment := c.stampTime(m.Echo).Add(time.Duration(m.Offset) * time.Millisecond)
	if moment.After(p.proofMoment) {
		p.proofMoment = moment
	}
	return proof{version: m.Version, moment: moment, from: from}, true
}

// latest returns the latest proof of any version, in force or pending.
func (c *Core) latest() proof {
	best := c.current
	for _, w := range c.pending {
		if w.moment.After(best.moment) {
			best = w
		}
	}
	return best
}

// propagate sends each peer the latest proof, or only a stamp, when it is due.
func (c *Core) propagate() {
	best := c.latest()
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[id]
		sinceSent := c.now.Sub(p.lastSent)
		switch {
		case c.worthSending(p, best) && (!p.proofSent || sinceSent >= c.cfg.SendInterval):
			c.send(id, p, best)
		case sinceSent >= c.cfg.StampInterval:
			c.send(id, p, proof{})
		}
	}
}

// worthSending reports whether a proof can be sent to a peer and is later, by MinGain, than
// the one that the peer has.
func (c *Core) worthSending(p *peer, best proof) bool {
	if best.version == 0 || p.stamp == 0 || best.moment.Sub(p.proofMoment) < c.cfg.MinGain {
		return false
	}
	// An expired proof is of no use, and its moment may be too far from the stamp's arrival.
	return c.now.Sub(best.moment) < c.cfg.Bound && c.now.Sub(p.stampArrived) < c.cfg.MaxStampAge
}

// send sends a stamp, and the proof unless it is empty.
func (c *Core) send(to model.NodeID, p *peer, best proof) {
	m := &message.Freshness{Stamp: c.stamp(), Echo: p.stamp, Epoch: c.epoch}
	if best.version != 0 {
		m.Version = best.version
		m.Offset = floorMillis(best.moment.Sub(p.stampArrived))
		p.proofMoment, p.proofSent = best.moment, true
	}
	p.lastStamp, p.lastSent = m.Stamp, c.now
	c.out = append(c.out, core.Send{To: to, Priority: message.Urgent, Message: m})
}

// floorMillis returns d in milliseconds, rounded down so that a proof's moment never becomes
// later.
func floorMillis(d time.Duration) int64 {
	ms := d.Milliseconds()
	if time.Duration(ms)*time.Millisecond > d {
		ms--
	}
	return ms
}
