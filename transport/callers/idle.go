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
