package forward

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthgate/jacinthgate/transport/headpack"
	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// ClientConfig configures NewClient.
type ClientConfig struct {
	// DialTimeout bounds opening a connection, its TLS handshake included.
	DialTimeout time.Duration
	// IdleTimeout closes a connection that was not used for so long. Keep it
	// below the servers' own, so that a request seldom meets a closing one.
	IdleTimeout time.Duration
	// IdlePerHost is the number of idle connections kept for each address.
	IdlePerHost int
	// LocalIP is the address that connections leave from, so that receivers
	// know the host by it. Nil leaves the choice to the kernel.
	LocalIP net.IP
	// ContinueTimeout is how long to wait for "100 Continue" before the body
	// is sent all the same.
	ContinueTimeout time.Duration
	// UnackedTimeout ends a connection on which what was sent stays
	// unacknowledged for so long, since the way or the other host is gone: its
	// request fails then and not at its deadline. 0 leaves it to the kernel.
	UnackedTimeout time.Duration
	// PackHeads makes heads small on connections without TLS, by package
	// headpack. The servers must accept such connections.
	PackHeads bool
	// Foreign reports whether a response belongs to another request than req:
	// a late second answer to an earlier one. It is read to its end and
	// skipped. Nil holds every response to be the request's own.
	Foreign func(req *http.Request, resp *http.Response) bool
	// Sent and Received, unless nil, count the bytes on the wire of all connections.
	Sent, Received *metrics.Counter
	// TLS is used for requests with the scheme "https". It needs a ServerName
	// or a check of its own unless certificates name the IP address.
	TLS *tls.Config
}

// DefaultClientConfig returns the settings for connections between nodes.
func DefaultClientConfig() ClientConfig {
	return ClientConfig{
		DialTimeout:     time.Second,
		IdleTimeout:     30 * time.Second,
		IdlePerHost:     64,
		ContinueTimeout: time.Second,
	}
}

// Client is an HTTP/1.1 client for Send. It writes a request and reads its
// response on the caller's own goroutine, where http.Transport hands both to
// two goroutines of the connection and back. It never sends a request twice,
// follows no redirect, uses no proxy and doesn't decompress.
//
// A response's body must be read to its end or closed. Client is safe for
// concurrent use.
type Client struct {
	cfg    ClientConfig
	dialer net.Dialer
	pool   pool
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, dialer: net.Dialer{Timeout: cfg.DialTimeout}}
	if cfg.LocalIP != nil {
		c.dialer.LocalAddr = &net.TCPAddr{IP: cfg.LocalIP}
	}
	c.pool.perHost = cfg.IdlePerHost
	c.pool.timeout = cfg.IdleTimeout
	return c
}

// RoundTrip implements http.RoundTripper. The error is a *SendError.
func (c *Client) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, _, err := c.send(req, nil)
	return resp, err
}

// Reach opens a connection to an address and closes it again, to learn whether
// anybody listens there.
func (c *Client) Reach(ctx context.Context, addr string) error { return reach(ctx, &c.dialer, addr) }

// Reach is Client.Reach from any address of this host.
func Reach(ctx context.Context, addr string) error { return reach(ctx, &net.Dialer{}, addr) }

func reach(ctx context.Context, d *net.Dialer, addr string) error {
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return conn.Close()
}

// CloseIdleConnections closes all connections that are not in use.
func (c *Client) CloseIdleConnections() { c.pool.closeAll() }

// send sends req once.
func (c *Client) send(req *http.Request, w http.ResponseWriter) (*http.Response, time.Duration, error) {
	if err := checkRequest(req); err != nil {
		return nil, 0, &SendError{Err: err}
	}
	began := time.Now()
	conn, err := c.connect(req)
	opening := time.Since(began)
	if err != nil {
		return nil, opening, &SendError{Err: causeOf(req.Context(), err)}
	}
	x := newTrip(c, conn, req, w)
	resp, err := x.run()
	if err != nil {
		// Sealed first: a body's goroutine can send nothing after the count.
		sent := conn.raw.seal() > x.start
		x.end(false)
		if errors.Is(err, syscall.ETIMEDOUT) {
			c.pool.closeIdle(conn.key) // the others lead the same way
		}
		return nil, opening, &SendError{Sent: sent, Err: causeOf(req.Context(), err)}
	}
	return resp, opening, nil
}

// causeOf returns why a request failed: its context's end where it ended.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// connect returns an idle connection or opens one.
func (c *Client) connect(req *http.Request) (*clientConn, error) {
	ctx := req.Context()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	key := connKey{scheme: req.URL.Scheme, addr: req.URL.Host}
	if conn := c.pool.get(key); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	raw, err := c.dialer.DialContext(ctx, "tcp", key.addr)
	if err != nil {
		return nil, err
	}
	sockopt.SetUnackedTimeout(raw, c.cfg.UnackedTimeout)
	tracked := &trackedConn{Conn: raw, sent: c.cfg.Sent, received: c.cfg.Received}
	switch {
	case key.scheme == "https":
	case c.cfg.PackHeads:
		packed := headpack.Client(tracked)
		conn := newClientConn(key, tracked, packed)
		conn.packed = packed
		return conn, nil
	default:
		return newClientConn(key, tracked, tracked), nil
	}
	secured := tls.Client(tracked, c.tlsConfig(key.addr))
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = raw.Close() // nothing was sent over it
		return nil, err
	}
	return newClientConn(key, tracked, secured), nil
}

// tlsConfig returns the configuration for a connection to an address.
func (c *Client) tlsConfig(addr string) *tls.Config {
	var cfg *tls.Config
	if c.cfg.TLS == nil {
		cfg = &tls.Config{MinVersion: tls.VersionTLS13}
	} else {
		cfg = c.cfg.TLS.Clone()
	}
	if host, _, err := net.SplitHostPort(addr); err == nil && cfg.ServerName == "" {
		cfg.ServerName = host
	}
	return cfg
}
