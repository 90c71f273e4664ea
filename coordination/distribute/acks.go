package distribute

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// forwardSuppression is how long an acknowledgement that was passed on is not
// passed on again. This ends loops, which can arise while the paths to the
// reader change.
const forwardSuppression = 500 * time.Millisecond

// ackRelay collects the acknowledgements and rejections that are to be passed
// on towards the zone's reader, and schedules this node's own acknowledgement.
type ackRelay struct {
	pending    map[model.NodeKey]message.Ack      // to be passed on
	rejections map[model.NodeID]message.Rejection // to be passed on
	flushAt    time.Time                          // zero: nothing is pending
	forwarded  map[model.NodeKey]forwardedAck     // recently passed on

	ownSentAt  time.Time // when this node's own acknowledgement was last queued
	ownRetryAt time.Time // when it is queued again; zero: not scheduled
	ownRetries int       // since the status last included it
	omitted    bool      // the zone's newest status does not include it
}

// forwardedAck is an acknowledgement that was passed on, with the time of doing
// so.
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

// newerAck reports whether a is newer than b, where both are acknowledgements
// of the same node.
func newerAck(a, b message.Ack) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// queueOwnAck queues this node's own acknowledgement, with the version that it
// serves with, or 0 while it is not ready. If it has rejected a newer version,
// it queues that rejection too.
func (c *Core) queueOwnAck(now time.Time) {
	a := message.Ack{Node: c.self.Node.Key(), Incarnation: c.self.Incarnation}
	if c.ready {
		a.Version = c.held.Version()
	}
	delete(c.acks.forwarded, a.Node)
	c.acks.ownSentAt = now
	c.acks.ownRetryAt = time.Time{}
	c.queueAck(now, a)
	if c.lastRejection != nil && c.hasRejected(c.lastRejection.Version) {
		c.queueRejection(now, *c.lastRejection)
	}
}

// hasRejected reports whether a version is the last one that the node rejected
// and is newer than the one held.
func (c *Core) hasRejected(version uint64) bool {
	return c.lastRejection != nil && c.lastRejection.Version == version && version > c.held.Version()
}

func (c *Core) acksReceived(now time.Time, p *peer, m *message.Acks) {
	if m.Zone != c.self.Zone {
		return
	}
	c.setChild(p, len(m.Acks) > 0)
	for _, a := range m.Acks {
		c.heldVersions.update(now, a.Node, a.Version)
		// An acknowledgement from the upstream neighbour would only be sent back
		// to it.
		if c.reader.isReader || p.id() != c.beacons.upstream {
			c.queueAck(now, a)
		}
	}
}

// queueAck records an acknowledgement if this node is the reader. Otherwise it
// queues the acknowledgement for the upstream neighbour, unless it was just
// passed on or a newer one is pending.
func (c *Core) queueAck(now time.Time, a message.Ack) {
	if c.reader.isReader {
		c.zone.recordAck(now, a)
		return
	}
	f, sent := c.acks.forwarded[a.Node]
	if sent && now.Sub(f.at) < forwardSuppression && !newerAck(a, f.ack) {
		return
	}
	if old, pending := c.acks.pending[a.Node]; pending && !newerAck(a, old) {
		return
	}
	c.acks.pending[a.Node] = a
	c.scheduleFlush(now)
}

func (c *Core) scheduleFlush(now time.Time) {
	if c.acks.flushAt.IsZero() {
		c.acks.flushAt = now.Add(c.cfg.AckDelay)
	}
}

// ackTimer passes on what was collected, and queues this node's own
// acknowledgement again when that is due.
func (c *Core) ackTimer(now time.Time) {
	r := &c.acks
	if !r.ownRetryAt.IsZero() && !now.Before(r.ownRetryAt) {
		c.queueOwnAck(now)
		if r.omitted {
			c.scheduleOwnRetry()
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
		return now.Sub(f.at) >= forwardSuppression
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

// recordPending records what was collected on this node itself, which has
// become the reader.
func (c *Core) recordPending(now time.Time) {
	for _, a := range c.acks.pending {
		c.zone.recordAck(now, a)
	}
	for _, r := range c.acks.rejections {
		c.zone.recordRejection(now, r)
	}
	clear(c.acks.pending)
	clear(c.acks.rejections)
	c.acks.flushAt = time.Time{}
	c.queueOwnAck(now)
}

// readerChanged schedules this node's own acknowledgement, because a new reader
// or a new path to the reader may not have it.
func (c *Core) readerChanged(now time.Time) {
	clear(c.acks.forwarded)
	c.acks.ownRetries = 0
	c.scheduleOwnAck(now)
}

// scheduleOwnAck schedules this node's own acknowledgement after a random
// delay, so that those of all nodes in the zone do not arrive at the same time.
func (c *Core) scheduleOwnAck(now time.Time) {
	c.acks.ownRetryAt = now.Add(c.jitter(2 * c.cfg.AckDelay))
}

// checkStatusesArrive schedules this node's own acknowledgement when the zone's
// statuses stop arriving: the upstream neighbour may have missed the
// acknowledgement that makes it send them to this node.
func (c *Core) checkStatusesArrive(now time.Time) {
	maxSilence := time.Duration(c.cfg.StatusBeacons+1) * c.cfg.BeaconInterval
	receivedAt := c.zones[c.self.Zone].ReceivedAt
	if now.Sub(receivedAt) > maxSilence && now.Sub(c.started) > maxSilence && c.acks.ownRetryAt.IsZero() {
		c.scheduleOwnRetry()
	}
}

// checkOwnAck schedules retries of this node's own acknowledgement, with
// backoff, while the zone's status does not include it.
func (c *Core) checkOwnAck(now time.Time, m *message.ZoneStatus) {
	answered := c.ready && m.Version <= c.held.Version() || c.hasRejected(m.Version)
	c.acks.omitted = answered && mayOmit(m, c.self.Node)
	if !c.acks.omitted {
		c.acks.ownRetries = 0
		return
	}
	if c.acks.ownRetryAt.IsZero() {
		c.scheduleOwnRetry()
	}
}

// mayOmit reports whether a status may lack both an acknowledgement and a
// rejection from a node. The lists in a status are capped, so true is uncertain
// for a node that is not listed.
func mayOmit(m *message.ZoneStatus, id model.NodeID) bool {
	if slices.ContainsFunc(m.Rejections, func(r message.Rejection) bool { return r.Node == id }) {
		return false
	}
	unlisted := int(m.Live) - int(m.Holding) - len(m.Missing)
	return unlisted > 0 || slices.Contains(m.Missing, id)
}

func (c *Core) scheduleOwnRetry() {
	wait := c.backoff(c.cfg.AckRetry, c.cfg.MaxAckRetry, c.acks.ownRetries)
	c.acks.ownRetries++
	c.acks.ownRetryAt = c.acks.ownSentAt.Add(wait)
}
