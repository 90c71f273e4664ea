package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// callerConn is a caller's connection. It keeps the bytes of each request's
// head as they arrived, so that a request for the older system can be passed
// on byte for byte.
//
// net/http reads a connection from one goroutine at a time, so the fields need
// no lock.
type callerConn struct {
	net.Conn

	// pending is read before the connection.
	pending []byte
	// head holds the bytes read since the request began, while recording.
	head      []byte
	recording bool
	// count is the number of bytes read since the request began.
	count int
	// early is the next request's first byte, if it was read too soon.
	early []byte
	// older is the connection to the older system that goes with this one.
	older *olderConn
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	c.count += n
	switch {
	case c.recording:
		c.head = append(c.head, p[:n]...)
	case len(p) == 1 && n == 1:
		// While a handler runs, net/http waits for the end of the connection
		// by reading one byte, which is the start of the next request.
		c.early = append(c.early[:0], p[0])
	}
	return n, err
}

func (c *callerConn) read(p []byte) (int, error) {
	if len(c.pending) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

// begin starts the recording of the next request.
func (c *callerConn) begin() {
	c.head = append(c.head[:0], c.early...)
	c.count = len(c.early)
	c.early = c.early[:0]
	c.recording = true
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.older != nil {
		_ = c.older.Close() // it has nothing more to carry
	}
	return c.Conn.Close()
}

// connState is the server's ConnState hook.
func connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.begin()
	case http.StateActive:
		c.recording = false // the head has been read
	}
}

type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// recordingListener wraps the connections it accepts.
type recordingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}

// oneListener accepts one connection; it hands one back to an http.Server. The
// server may close it at any time, so the connection is taken exactly once: by
// Accept or by Close.
type oneListener struct {
	conn atomic.Pointer[callerConn]
}

func newOneListener(c *callerConn) *oneListener {
	l := new(oneListener)
	l.conn.Store(c)
	return l
}

// Accept implements net.Listener.
func (l *oneListener) Accept() (net.Conn, error) {
	c := l.conn.Swap(nil)
	if c == nil {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener. It closes a connection that was not taken.
func (l *oneListener) Close() error {
	c := l.conn.Swap(nil)
	if c == nil {
		return nil
	}
	return c.Close()
}

// Addr implements net.Listener.
func (l *oneListener) Addr() net.Addr { return &net.TCPAddr{} }
