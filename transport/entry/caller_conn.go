package entry

import (
	"context"
	"net"
	"net/http"
)

// callerConn is a caller's connection. It records the bytes of each request's head
// as they arrived, so that a request for the older system can be forwarded byte for
// byte.
//
// net/http reads a connection from one goroutine at a time, so the fields need
// no lock.
type callerConn struct {
	net.Conn

	// pending holds bytes that Read returns before it reads from Conn.
	pending []byte
	// head holds the bytes read since the request began, while recording.
	head      []byte
	recording bool
	// count is the number of bytes read since the request began.
	count int
	// prefetched is the first byte of the next request, if net/http read it while the
	// handler of the current one still ran.
	prefetched []byte
	// older is the connection to the older system that carries this caller's
	// requests; nil if there is none.
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
		// While a handler runs, net/http detects a closed connection by reading one
		// byte; if the caller is still there, that is the first of the next request.
		c.prefetched = append(c.prefetched[:0], p[0])
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

// beginRecording starts recording the head of the next request.
func (c *callerConn) beginRecording() {
	c.head = append(c.head[:0], c.prefetched...)
	c.count = len(c.prefetched)
	c.prefetched = c.prefetched[:0]
	c.recording = true
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.older != nil {
		_ = c.older.Close() // it carries no more data, so an error doesn't matter
	}
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// connState is the server's ConnState hook. It records each request's head: from the
// connection's start or idle state until net/http has read the head.
func connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.beginRecording()
	case http.StateActive:
		c.recording = false
	}
}

type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// recordingListener wraps each accepted connection in a callerConn.
type recordingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}
