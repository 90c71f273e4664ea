package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// trackedConn counts the bytes written, so that a failed request can be told
// apart from one that was never sent.
type trackedConn struct {
	net.Conn

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
	return c.Conn.Write(p)
}

func (c *trackedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops all further writes and returns the bytes written so far. Without
// it, net/http's writing goroutine could still send a request whose RoundTrip
// has already failed.
func (c *trackedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// trackedOf finds the trackedConn below a possible TLS layer, or nil.
func trackedOf(c net.Conn) *trackedConn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	t, _ := c.(*trackedConn)
	return t
}

// TransportConfig configures NewTransport.
type TransportConfig struct {
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// IdleTimeout closes a connection that was not used for so long. Keep it
	// below the servers' own, so that a request seldom meets a closing one.
	IdleTimeout time.Duration
	// IdlePerHost is the number of idle connections kept for each address.
	IdlePerHost int
	// ConnsPerHost bounds the connections to each address; 0 is no bound.
	ConnsPerHost int
	// LocalIP is the address that connections leave from, so that receivers
	// know the host by it. Nil leaves the choice to the kernel.
	LocalIP net.IP
	// ContinueTimeout is how long to wait for "100 Continue" before the body
	// is sent all the same.
	ContinueTimeout time.Duration
}

// DefaultTransportConfig returns the settings for connections between nodes.
func DefaultTransportConfig() TransportConfig {
	return TransportConfig{
		DialTimeout:     time.Second,
		IdleTimeout:     30 * time.Second,
		IdlePerHost:     64,
		ContinueTimeout: time.Second,
	}
}

// NewTransport returns an HTTP/1.1 transport whose connections Send can
// observe. It uses no proxy of the environment and doesn't decompress.
func NewTransport(cfg TransportConfig) *http.Transport {
	d := &net.Dialer{Timeout: cfg.DialTimeout}
	if cfg.LocalIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: cfg.LocalIP}
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: c}, nil
		},
		DisableCompression:    true,
		MaxIdleConns:          0,
		MaxIdleConnsPerHost:   cfg.IdlePerHost,
		MaxConnsPerHost:       cfg.ConnsPerHost,
		IdleConnTimeout:       cfg.IdleTimeout,
		ExpectContinueTimeout: cfg.ContinueTimeout,
	}
}
