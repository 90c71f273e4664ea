package distribute

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// forwardOnce is how long an acknowledgement that was passed on is not passed
// on again. It ends loops while the ways to the reader change.
const forwardOnce = 500 * time.Millisecond

// ackRelay collects what is to be passed on towards the zone's reader.
type ackRelay struct {
	pending    map[model.NodeKey]message.Ack
	rejections map[model.NodeID]message.Rejection
	flushAt    time.Time // zero: nothing is pending
	forwarded  map[model.NodeKey]forwardedAck

	sentAt   time.Time // when this node's own was last sent
	resendAt time.Time // zero: not needed
	retries  int
	lacking  bool // the newest status of the zone lacks it
}

type forwardedAck struct {
	ack message.Ack
	at  time.Time
}

func newAckRelay() ackRelay {
	return ackRelay{
		pending:    make(map[model.NodeKey]message.Ack),
		rejections: make(map[model.NodeID]message.Rejection),
		forwarded:  make(map[model.NodeKey]forwardedAck),
	}
}

// newerAck orders the acknowledgements of one node.
func newerAck(a, b message.Ack) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// ackSelf reports the version that this node serves with, or 0, and the newer
// one that it refused.
func (c *Core) ackSelf(now time.Time) {
	a := message.Ack{Node: c.self.Node.Key(), Incarnation: c.self.Incarnation}
	if c.ready {
		a.Version = c.held.Version()
	}
	delete(c.acks.forwarded, a.Node)
	c.acks.sentAt = now
	c.acks.resendAt = time.Time{}
	c.takeAck(now, a)
	if c.last != nil && c.rejects(c.last.Version) {
		c.queueRejection(now, *c.last)
	}
}

// rejects reports whether the node refused a version and still lacks it.
func (c *Core) rejects(version uint64) bool {
	return c.last != nil && c.last.Version == version && version > c.held.Version()
}

func (c *Core) acksReceived(now time.Time, p *peer, m *message.Acks) {
	if m.Zone != c.self.Zone {
		return
	}
	c.setChild(p, len(m.Acks) > 0)
	for _, a := range m.Acks {
		c.memory.heard(now, a.Node, a.Version)
		// What comes down from the reader's side would only go back up.
		if c.reader.leads || p.id() != c.beacons.upstream {
			c.takeAck(now, a)
		}
	}
}

func (c *Core) takeAck(now time.Time, a message.Ack) {
	if c.reader.leads {
		c.zone.ack(now, a)
		return
	}
	f, sent := c.acks.forwarded[a.Node]
	if sent && now.Sub(f.at) < forwardOnce && !newerAck(a, f.ack) {
		return
	}
	if old, pending := c.acks.pending[a.Node]; pending && !newerAck(a, old) {
		return
	}
	c.acks.pending[a.Node] = a
	c.flushSoon(now)
}

func (c *Core) flushSoon(now time.Time) {
	if c.acks.flushAt.IsZero() {
		c.acks.flushAt = now.Add(c.cfg.AckDelay)
	}
}

// ackTimer passes on what was collected and repeats this node's own
// acknowledgement when it is due.
func (c *Core) ackTimer(now time.Time) {
	r := &c.acks
	if !r.resendAt.IsZero() && !now.Before(r.resendAt) {
		c.ackSelf(now)
		if r.lacking {
			c.scheduleResend()
		}
	}
	if r.flushAt.IsZero() || now.Before(r.flushAt) || c.beacons.upstream == "" {
		return
	}
	r.flushAt = time.Time{}
	c.flushAcks(now)
	c.flushRejections()
}

func (c *Core) flushAcks(now time.Time) {
	r := &c.acks
	maps.DeleteFunc(r.forwarded, func(_ model.NodeKey, f forwardedAck) bool {
		return now.Sub(f.at) >= forwardOnce
	})
	if len(r.pending) == 0 {
		return
	}
	m := &message.Acks{Zone: c.self.Zone}
	for _, k := range slices.Sorted(maps.Keys(r.pending)) {
		m.Acks = append(m.Acks, r.pending[k])
		r.forwarded[k] = forwardedAck{ack: r.pending[k], at: now}
	}
	clear(r.pending)
	c.send(c.beacons.upstream, message.Normal, m)
}

// absorbPending hands what was collected to this node itself, the new reader.
func (c *Core) absorbPending(now time.Time) {
	for _, a := range c.acks.pending {
		c.zone.ack(now, a)
	}
	for _, r := range c.acks.rejections {
		c.zone.reject(now, r)
	}
	clear(c.acks.pending)
	clear(c.acks.rejections)
	c.acks.flushAt = time.Time{}
	c.ackSelf(now)
}

// readerChanged repeats this node's acknowledgement soon: the new reader, or
// the new way to it, may not have it.
func (c *Core) readerChanged(now time.Time) {
	clear(c.acks.forwarded)
	c.acks.retries = 0
	c.ackSoon(now)
}

// ackSoon repeats this node's acknowledgement, at a random moment so that those
// of the zone don't come together.
func (c *Core) ackSoon(now time.Time) {
	c.acks.resendAt = now.Add(c.jitter(2 * c.cfg.AckDelay))
}

// checkSilence repeats this node's acknowledgement when the zone's statuses stay
// away: the neighbour towards the reader may have missed that it sends them
// here.
func (c *Core) checkSilence(now time.Time) {
	repeat := time.Duration(c.cfg.StatusBeacons+1) * c.cfg.BeaconInterval
	heard := c.zones[c.self.Zone].ReceivedAt
	if now.Sub(heard) > repeat && now.Sub(c.started) > repeat && c.acks.resendAt.IsZero() {
		c.scheduleResend()
	}
}

// checkAck repeats this node's acknowledgement, with backoff, while the zone's
// status lacks it.
func (c *Core) checkAck(now time.Time, m *message.ZoneStatus) {
	answered := c.ready && m.Version <= c.held.Version() || c.rejects(m.Version)
	c.acks.lacking = answered && mayLack(m, c.self.Node)
	if !c.acks.lacking {
		c.acks.retries = 0
		return
	}
	if c.acks.resendAt.IsZero() {
		c.scheduleResend()
	}
}

// mayLack reports whether a status lacks a node's answer, as far as its capped
// lists tell.
func mayLack(m *message.ZoneStatus, id model.NodeID) bool {
	if slices.ContainsFunc(m.Rejections, func(r message.Rejection) bool { return r.Node == id }) {
		return false
	}
	unnamed := int(m.Live) - int(m.Holding) - len(m.Missing)
	return unnamed > 0 || slices.Contains(m.Missing, id)
}

func (c *Core) scheduleResend() {
	wait := c.backoff(c.cfg.AckRetry, c.cfg.MaxAckRetry, c.acks.retries)
	c.acks.retries++
	c.acks.resendAt = c.acks.sentAt.Add(wait)
}
