package departure

import "time"

// start is what a node that starts has done to be told of departures beside it.
type start struct {
	settled bool
	// linkedAt is when the first peer connected, and readAt when the store's list was first read.
	linkedAt, readAt time.Time
	// storeFailed is set if the store hasn't answered.
	storeFailed bool
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
// time to tell what they remember.
func (c *Core) settle() {
	s := &c.start
	read := !s.readAt.IsZero()
	linked := !s.linkedAt.IsZero()
	switch {
	case s.settled:
		return
	case c.cfg.FirstStart:
	case linked && (read || s.storeFailed) && c.passed(s.linkedAt, c.cfg.Settle):
	case !linked && read && c.passed(s.readAt, c.cfg.AloneAfter):
	default:
		return
	}
	s.settled = true
	c.out = append(c.out, Settled{})
}

// passed reports whether a duration has passed since a time.
func (c *Core) passed(since time.Time, d time.Duration) bool { return c.now.Sub(since) >= d }
