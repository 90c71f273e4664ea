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
	// DialTimeout bounds opening a connection, including its TLS handshake.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may be idle before it is closed. It
	// should be below the servers' own idle timeout, so that a request is rarely
	// sent on a connection that the server is closing.
	IdleTimeout time.Duration
	// IdlePerHost is the maximum number of idle connections per address.
	IdlePerHost int
	// LocalIP is the source address of connections, by which receivers
	// identify this host. Nil leaves the choice to the kernel.
	LocalIP net.IP
	// IdleCheck is the interval at which idle connections are checked: one that the server has closed,
	// or on which it sends what belongs to no response, is closed. 0 leaves it to the next request
	// and the idle timeout.
	IdleCheck time.Duration
	// DropSilent closes the idle connections to an address once a request on a reused connection has
	// got no byte by its deadline: they may have fallen silent with it, and the next request would wait
	// on one of them.
	DropSilent bool
	// MaxUnframedBody is the maximum size of a response's body whose length isn't known, unless it is an
	// event stream, in bytes; 0 sets no limit.
	MaxUnframedBody int64
	// ContinueTimeout is how long to wait for "100 Continue" before the body
	// is sent without it.
	ContinueTimeout time.Duration
	// UnackedTimeout is how long sent data may stay unacknowledged before the
	// connection fails. If the network path or the other host is lost, the
	// request then fails before its deadline. A server that doesn't read for a while,
	// and whose receive window is full, has until the deadline. 0 leaves it to the kernel.
	UnackedTimeout time.Duration
	// PackHeads compresses the heads of messages on connections without TLS with
	// package headpack. The servers must accept such connections.
	PackHeads bool
	// Foreign reports whether a response belongs to a request other than req,
	// such as a late second response to an earlier one. Such a response is read
	// to its end and discarded. Nil treats every response as that of req.
	Foreign func(req *http.Request, resp *http.Response) bool
	// Sent and Received count the bytes on the wire of all connections, unless nil.
	Sent, Received *metrics.Counter
	// TLS is the configuration for requests with the scheme "https". Unless the
	// servers' certificates name their IP addresses, it needs a ServerName or its
	// own verification function.
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
// response on the goroutine of the caller, whereas http.Transport hands them to
// two goroutines of the connection. It never sends a request twice, follows no
// redirect, uses no proxy and doesn't decompress.
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
	c.pool.check = cfg.IdleCheck
	return c
}

// RoundTrip implements http.RoundTripper. The error is a *SendError.
func (c *Client) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, _, err := c.send(req, nil)
	return resp, err
}

// Reach checks whether addr accepts connections: it opens one and closes it.
func (c *Client) Reach(ctx context.Context, addr string) error { return reach(ctx, &c.dialer, addr) }

// Reach checks like Client.Reach, from a source address that the kernel chooses.
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

// CloseIdle closes the connections to an address that are not in use.
func (c *Client) CloseIdle(addr string) {
	for _, scheme := range []string{"http", "https"} {
		c.pool.closeIdle(connKey{scheme: scheme, addr: addr})
	}
}

// send sends req once and returns the response's head and the time spent on
// getting a connection. w receives 1xx responses, unless nil.
func (c *Client) send(req *http.Request, w http.ResponseWriter) (*http.Response, time.Duration, error) {
	if err := checkRequest(req); err != nil {
		return nil, 0, &SendError{Err: err}
	}
	connectStart := time.Now()
	conn, err := c.connect(req)
	connectTime := time.Since(connectStart)
	if err != nil {
		return nil, connectTime, &SendError{Err: causeOf(req.Context(), err)}
	}
	x := newRoundTrip(c, conn, req, w)
	resp, err := x.run()
	if err != nil {
		// Sealing stops the goroutine that uploads the body, so that it can't
		// send anything after the count was taken.
		sent := conn.raw.seal() > x.start
		x.end(false)
		if errors.Is(err, syscall.ETIMEDOUT) || c.cfg.DropSilent && x.isSilent() {
			c.pool.closeIdle(conn.key) // they use the same network path
		}
		return nil, connectTime, &SendError{Sent: sent, Err: causeOf(req.Context(), err)}
	}
	return resp, connectTime, nil
}

// causeOf returns the cause of a failed request: the context's error if the
// context has ended, else err.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// connect returns an idle connection to the request's address or opens one.
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
	tracked := newTrackedConn(raw, c.cfg.Sent, c.cfg.Received)
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

// tlsConfig returns the TLS configuration for a connection to addr. The host of
// addr is the server name unless the client's configuration has one.
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
