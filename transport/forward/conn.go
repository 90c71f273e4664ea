package forward

import (
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// trackedConn is a connection that counts the bytes written, so that a request
// that failed after sending can be distinguished from one that was never sent.
type trackedConn struct {
	sockopt.CheckedConn
	sent, received *metrics.Counter // may be nil

	mu      sync.Mutex
	written int64
	sealed  bool
	lost    error // why all reads and writes fail; nil while they don't
}

// newTrackedConn returns a connection over raw, with counters that may be nil.
func newTrackedConn(raw net.Conn, sent, received *metrics.Counter) *trackedConn {
	return &trackedConn{CheckedConn: sockopt.CheckedConn{Conn: raw}, sent: sent, received: received}
}

// lose makes all reads and writes of the connection fail with err.
func (c *trackedConn) lose(err error) {
	c.mu.Lock()
	c.lost = err
	c.mu.Unlock()
	_ = c.Conn.SetDeadline(past) // fails only on a closed connection
}

// cause returns the reason why the connection was lost, else err.
func (c *trackedConn) cause(err error) error {
	if err == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost != nil {
		return c.lost
	}
	return err
}

// Write counts p before writing it, since a failed write may have sent part of it.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, &sealedError{}
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.sent != nil {
		c.sent.Add(n)
	}
	return n, c.cause(err)
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.CheckedConn.Read(p)
	if c.received != nil {
		c.received.Add(n)
	}
	return n, c.cause(err)
}

// count returns the number of bytes written so far.
func (c *trackedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes all further writes fail and returns the number of bytes written so
// far. Without it, the goroutine that uploads a body could still send part of a
// request that has already been reported as failed.
func (c *trackedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
