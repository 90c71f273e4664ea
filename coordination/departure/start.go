package departure

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// start is what a node that starts has done to be told of departures beside it.
type start struct {
	settled bool
	// certain is set once nothing is in doubt.
	certain bool
	// linkedAt is when the first peer connected, informedAt when the first one of this zone did
	// whose memory reaches back far enough, and readAt when the store's list was first read.
	linkedAt, informedAt, readAt time.Time
	// storeFailed is set if the store hasn't answered.
	storeFailed bool
}

// linked records a connection to a peer of a zone, with a memory of the given length. Peers of other
// zones don't count as informed: this zone may have been cut off from them.
func (c *Core) linked(zone model.Zone, remembers time.Duration) {
	s := &c.start
	if s.linkedAt.IsZero() {
		s.linkedAt = c.now
	}
	if s.informedAt.IsZero() && zone == c.cfg.Zone && remembers >= c.cfg.Retention {
		s.informedAt = c.now
	}
}

// listRead records a read of the store's list of nodes.
func (c *Core) listRead(ev ListRead) {
	if ev.Failed {
		c.start.storeFailed = true
		return
	}
	if c.start.readAt.IsZero() {
		c.start.readAt = c.now
	}
	c.ownDeparted(OwnDeparted{Instance: ev.OwnDeparted, Stored: true})
}

// settle emits Settled once the store's list has been read, or can't be, and the peers have had the
// time to tell what they remember; and again once nothing is in doubt.
func (c *Core) settle() {
	s := &c.start
	certain := c.isCertain()
	if s.certain || s.settled && !certain || !certain && !c.hasAsked() {
		return
	}
	s.settled, s.certain = true, certain
	c.out = append(c.out, Settled{InDoubt: !certain})
}

// hasAsked reports whether the store and the peers have been asked, as far as they can be.
func (c *Core) hasAsked() bool {
	s := &c.start
	read := !s.readAt.IsZero()
	if s.linkedAt.IsZero() {
		return read && c.passed(s.readAt, c.cfg.AloneAfter)
	}
	return (read || s.storeFailed) && c.passed(s.linkedAt, c.cfg.Settle)
}

// isCertain reports whether no departure beside this node can have been forgotten: the store's list
// was read, and a peer has told of departures as long ago as a backend server can run on after one; or
// this node has run for as long.
func (c *Core) isCertain() bool {
	s := &c.start
	told := !s.readAt.IsZero() && !s.informedAt.IsZero() && c.passed(s.informedAt, c.cfg.Settle)
	return c.cfg.FirstStart || told || c.passed(c.memory.startedAt, c.cfg.Retention)
}

// passed reports whether a duration has passed since a time.
func (c *Core) passed(since time.Time, d time.Duration) bool { return c.now.Sub(since) >= d }
