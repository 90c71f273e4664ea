// Package tcp implements peer.Transport over plain TCP, for sites whose network
// is trusted and whose hosts hold no keys. Each message is preceded by its
// length as a four-byte big-endian integer. docs/design/platform.md compares it
// with QUIC.
package tcp

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/peer"
	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

const (
	// lengthBytes is the size of a message's length prefix.
	lengthBytes = 4
	// readBuffer is the size of a connection's read buffer, in bytes. It is
	// small because most messages consist of a few records.
	readBuffer = 2 << 10
)

// Config configures a Transport.
type Config struct {
	// ListenAddr is the address to listen on, IP:port.
	ListenAddr string
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// UnackedTimeout is how long sent data may stay unacknowledged before the
	// connection is closed. The kernel's own limit is many minutes.
	UnackedTimeout time.Duration
}

// DefaultConfig returns the defaults, without an address.
func DefaultConfig() Config {
	return Config{DialTimeout: time.Second, UnackedTimeout: 3 * time.Second}
}

// Transport implements peer.Transport over TCP.
type Transport struct {
	cfg      Config
	listener net.Listener
	dialer   net.Dialer

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
}

var _ peer.Transport = (*Transport)(nil)

// New returns a transport that listens on cfg.ListenAddr.
func New(cfg Config) (*Transport, error) {
	ln, err := net.Listen("tcp", cfg.ListenAddr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	t := &Transport{cfg: cfg, listener: ln, conns: make(map[*conn]struct{})}
	t.dialer.Timeout = cfg.DialTimeout
	t.dialer.KeepAlive = -1 // the protocol's heartbeats check that the connection is alive
	if a, ok := ln.Addr().(*net.TCPAddr); ok && !a.IP.IsUnspecified() {
		t.dialer.LocalAddr = &net.TCPAddr{IP: a.IP}
	}
	return t, nil
}

// Addr implements peer.Transport.
func (t *Transport) Addr() string { return t.listener.Addr().String() }

// Dial implements peer.Transport.
func (t *Transport) Dial(ctx context.Context, addr string) (peer.Conn, error) {
	raw, err := t.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &peer.DialError{Addr: addr, Err: err}
	}
	c, err := t.add(raw)
	if err != nil {
		return nil, &peer.DialError{Addr: addr, Err: err}
	}
	return c, nil
}

// Accept implements peer.Transport.
func (t *Transport) Accept(ctx context.Context) (peer.Conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = t.listener.Close() }) // listener.Accept then returns an error
	defer stop()
	raw, err := t.listener.Accept()
	switch {
	case err == nil:
		return t.add(raw)
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case errors.Is(err, net.ErrClosed):
		return nil, peer.ErrClosed
	}
	return nil, &peer.AcceptError{Err: err}
}

// add wraps a connection and tracks it until it is closed.
func (t *Transport) add(raw net.Conn) (*conn, error) {
	sockopt.SetUnackedTimeout(raw, t.cfg.UnackedTimeout)
	c := &conn{transport: t, raw: raw, br: bufio.NewReaderSize(raw, readBuffer)}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = raw.Close() // unused; its error does not matter
		return nil, peer.ErrClosed
	}
	t.conns[c] = struct{}{}
	return c, nil
}

// Close implements peer.Transport.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	conns := t.conns
	t.conns = make(map[*conn]struct{})
	t.mu.Unlock()
	for c := range conns {
		_ = c.Close() // best effort: the whole transport shuts down
	}
	if err := t.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "close peer listener")
	}
	return nil
}

// conn implements peer.Conn over one TCP connection.
type conn struct {
	transport *Transport
	raw       net.Conn
	br        *bufio.Reader
	closed    atomic.Bool
	writeMu   sync.Mutex
}

var _ peer.Conn = (*conn)(nil)

// Send implements peer.Conn.
func (c *conn) Send(ctx context.Context, msg []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.closed.Load() {
		return peer.ErrClosed
	}
	deadline, _ := ctx.Deadline() // the zero time means no deadline
	if err := c.raw.SetWriteDeadline(deadline); err != nil {
		return c.mapError(err)
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(msg))
	binary.BigEndian.PutUint32(frame, uint32(len(msg)))
	if _, err := c.raw.Write(append(frame, msg...)); err != nil {
		_ = c.Close() // the frame may have been sent in part
		return c.mapError(err)
	}
	return nil
}

// Receive implements peer.Conn.
func (c *conn) Receive(ctx context.Context) ([]byte, error) {
	deadline, _ := ctx.Deadline() // the zero time means no deadline
	if err := c.raw.SetReadDeadline(deadline); err != nil {
		return nil, c.mapError(err)
	}
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(c.br, prefix[:]); err != nil {
		return nil, c.mapError(err)
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > message.MaxSize {
		return nil, &message.SizeError{Size: int(size)}
	}
	msg := make([]byte, size)
	if _, err := io.ReadFull(c.br, msg); err != nil {
		return nil, c.mapError(err)
	}
	return msg, nil
}

// mapError returns peer.ErrClosed if either side closed or reset the
// connection, and err otherwise.
func (c *conn) mapError(err error) error {
	if c.closed.Load() || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return peer.ErrClosed
	}
	return err
}

// Peer implements peer.Conn. It is empty: plain TCP does not authenticate peers.
func (c *conn) Peer() model.NodeID { return "" }

// RemoteAddr implements peer.Conn.
func (c *conn) RemoteAddr() string { return c.raw.RemoteAddr().String() }

// Close implements peer.Conn.
func (c *conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	c.transport.mu.Lock()
	delete(c.transport.conns, c)
	c.transport.mu.Unlock()
	return c.raw.Close()
}
