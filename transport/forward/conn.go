package forward

import (
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// trackedConn is a connection that counts the bytes written, so that a request
// that failed after sending can be distinguished from one that was never sent.
type trackedConn struct {
	net.Conn
	sent, received *metrics.Counter // may be nil

	mu      sync.Mutex
	written int64
	sealed  bool
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
	return n, err
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.received != nil {
		c.received.Add(n)
	}
	return n, err
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
