package callers

import (
	"errors"
	"os"
	"time"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// past is a deadline that ends a blocked read at once.
var past = time.Unix(1, 0)

// closeIfIdle makes the connection end unless a request is being read or is pending. It leaves
// a connection alone that is ending already: its last response may not have arrived yet.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readStopped || c.reading || len(c.pending) > 0 {
		return
	}
	c.readStopped = true
	_ = c.raw.SetReadDeadline(past) // the read returns the error of a closed connection
}

// idleSince returns since when the connection has had no request; false if it has one or is ending.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usedAt, !c.readStopped && !c.reading && len(c.pending) == 0
}

// unackedCheck is the minimum interval between two checks of the send queue.
const unackedCheck = 50 * time.Millisecond

// awaitRequest waits until the first byte of a request arrives. It returns an error when the
// connection ends or has been idle for too long.
func (c *conn) awaitRequest() error {
	limits := c.server.cfg.Limits()
	for {
		c.armIdle(limits)
		_, err := c.br.Peek(1)
		if err == nil || c.arrived(err) {
			return nil
		}
		// A connection whose caller still receives responses isn't idle.
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.isReadStopped() || !c.sends.Receiving() {
			return err
		}
		limits = c.server.cfg.Limits()
		limits.IdleTimeout = max(limits.IdleTimeout, unackedCheck)
	}
}

// isReadStopped reports whether no further request is to be read.
func (c *conn) isReadStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readStopped
}

// arrived reports whether unread bytes have arrived on a connection whose read failed with err at
// its deadline: the deadline may pass before this process is scheduled and reads them.
func (c *conn) arrived(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && !c.isFinalSent() && sockopt.HasUnread(c.raw)
}

// isFinalSent reports whether the final response of the connection was sent.
func (c *conn) isFinalSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finalSent
}

// beginRequest records that a request has begun to arrive, and sets the deadline for its head.
func (c *conn) beginRequest(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	var until time.Time
	switch {
	case c.finalSent:
		until = past
	case limits.HeaderTimeout > 0:
		until = time.Now().Add(limits.HeaderTimeout)
	}
	_ = c.raw.SetReadDeadline(until) // the read returns the error of a closed connection
}

// armIdle sets the deadline at which an idle connection is closed. With pending
// requests there is none, and a request that is being read has its own deadline.
func (c *conn) armIdle(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var until time.Time
	switch {
	case c.lingering, c.reading && !c.finalSent:
		return
	case c.finalSent:
		until = past
	case c.readStopped && len(c.pending) == 0:
		until = past
	case len(c.pending) == 0 && limits.IdleTimeout > 0:
		until = time.Now().Add(limits.IdleTimeout)
	}
	_ = c.raw.SetReadDeadline(until) // the read returns the error of a closed connection
}
