package forward

import (
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// trackedConn counts the bytes written, so that a failed request can be told
// apart from one that was never sent.
type trackedConn struct {
	net.Conn
	sent, received *metrics.Counter // nil to not count

	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts p before it is written: a failed write may have sent a part.
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

func (c *trackedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops all further writes and returns the bytes written so far. Without
// it, the goroutine that sends a body could still send a part of a request that
// has already failed.
func (c *trackedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
