package callers

import (
	"errors"
	"os"
	"time"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// hangUpIfIdle lets the connection end unless a request is under way. One that is ending
// already is left alone: its last answer may still be on its way.
func (c *conn) hangUpIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending || c.reading || len(c.open) > 0 {
		return
	}
	c.ending = true
	_ = c.raw.SetReadDeadline(past) // the read reports a closed one
}

const (
	// stallTime is how long a caller may take nothing of what was sent to it before it is taken
	// for gone.
	stallTime = 2 * time.Second
	// untakenCheck is the least time between two looks at what a caller has taken.
	untakenCheck = 50 * time.Millisecond
)

// awaitRequest returns when a request begins to arrive. The error is that of the end of the
// connection.
func (c *conn) awaitRequest() error {
	limits := c.server.cfg.Limits()
	for {
		c.armIdle(limits)
		_, err := c.br.Peek(1)
		if err == nil || c.arrived(err) {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.isEnding() || !c.takesOn() {
			return err
		}
		limits = c.server.cfg.Limits()
		limits.IdleTimeout = max(limits.IdleTimeout, untakenCheck)
	}
}

// takesOn reports whether the caller is still taking what was sent to it: such a connection isn't
// idle, and closing it could reset it and lose the rest.
func (c *conn) takesOn() bool {
	untaken, _ := sockopt.Unsent(c.raw) // 0 where it isn't known
	if untaken != c.untaken {
		c.untaken, c.untakenSince = untaken, time.Now()
	}
	return untaken > 0 && time.Since(c.untakenSince) < stallTime
}

// isEnding reports whether no further request is to be read.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// arrived reports whether a read that ended at its deadline has left bytes behind. The
// deadline may have passed before this process got to read them.
func (c *conn) arrived(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && !c.hasEnded() && sockopt.Pending(c.raw)
}

// hasEnded reports whether an answer that ends the connection was sent.
func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// begin notes that a request arrives, which bounds the time for its head.
func (c *conn) begin(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	var until time.Time
	switch {
	case c.ended:
		until = past
	case limits.HeaderTimeout > 0:
		until = time.Now().Add(limits.HeaderTimeout)
	}
	_ = c.raw.SetReadDeadline(until) // the read reports a closed connection
}

// armIdle sets the time at which an idle connection is closed. With requests
// under way there is none, and one that arrives has a bound of its own.
func (c *conn) armIdle(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var until time.Time
	switch {
	case c.lingers, c.reading && !c.ended:
		return
	case c.ended:
		until = past
	case c.ending && len(c.open) == 0:
		until = past
	case len(c.open) == 0 && limits.IdleTimeout > 0:
		until = time.Now().Add(limits.IdleTimeout)
	}
	_ = c.raw.SetReadDeadline(until) // the read reports a closed connection
}
