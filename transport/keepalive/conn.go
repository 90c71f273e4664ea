package keepalive

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// past is a deadline that ends a blocked read at once.
var past = time.Unix(1, 0)

const (
	// lingerTime is how long a connection is still read after the server has closed it and the client
	// has acknowledged everything: closing a socket with unread bytes resets the connection, and the
	// client may lose what was sent to it.
	lingerTime = 200 * time.Millisecond
	// unackedCheck is the interval between two checks of the send queue.
	unackedCheck = 50 * time.Millisecond
	// closeNoticeTime bounds the time for sending the close notice. It is short: the kernel has room for it
	// unless the client doesn't read.
	closeNoticeTime = 50 * time.Millisecond
)

// conn is an accepted connection, below TLS and the other wrappers. net/http reads a connection
// from one goroutine at a time.
type conn struct {
	net.Conn
	server *Server
	outer  net.Conn // what net/http uses in its place
	// sends observes whether the client receives responses. One goroutine at a time uses it: the one
	// that reads, and the one that lingers after it.
	sends sockopt.Sends

	mu    sync.Mutex
	state http.ConnState
	// begun is set if a part of a request has arrived that net/http has not reported as active yet.
	begun bool
	// deadline is the read deadline that net/http has set; zero is none. woken is set while a deadline
	// in the past is in force in its place.
	deadline time.Time
	woken    bool
	// peeked is set once net/http has set a read deadline in StateIdle. It sets the second one when
	// bytes of the next request are in its buffer.
	peeked bool
	// resumed is set while no request was served since a handler had the connection: what is on it is the
	// handler's, and no close notice may follow.
	resumed bool
	// ending is set once the connection is closed for writing or all.
	ending bool
	http10 http10Response
}

// waits reports whether the connection waits for a request and no part of one has arrived. The
// caller holds c.mu.
func (c *conn) waits() bool {
	return (c.state == http.StateNew || c.state == http.StateIdle) && !c.begun
}

// setState records a state that net/http reports.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	prefetched := c.state == http.StateActive && c.begun
	c.begun = state == http.StateIdle && prefetched || state == http.StateNew && c.begun
	c.state, c.peeked = state, false
	c.resumed = c.resumed && state == http.StateNew
	if state == http.StateIdle || state == http.StateHijacked {
		c.setHTTP10(nil) // sent, or the handler's own
	}
	if c.woken {
		c.woken = false
		_ = c.Conn.SetReadDeadline(c.deadline) // the read returns the error of a closed connection
	}
}

// wake ends a read that waits for a request, so that the goroutine that reads decides whether the
// connection ends. The caller holds c.mu.
func (c *conn) wake() {
	c.woken = true
	_ = c.Conn.SetReadDeadline(past) // the read returns the error of a closed connection
}

// endIfIdle makes the connection end if no request has arrived. It returns false if the connection
// isn't the server's any more.
func (c *conn) endIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waits() && !c.ending {
		c.wake()
	}
	return c.state != http.StateHijacked
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	closing := c.server.isClosing()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	switch {
	case c.state == http.StateIdle && c.peeked:
		c.begun = true
	case c.state == http.StateNew && t.IsZero():
		c.begun = false // a TLS handshake has ended
	}
	c.peeked = true
	if closing && c.waits() {
		c.wake()
		return nil
	}
	c.woken = false
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Read implements net.Conn. While the connection waits for a request, a deadline alone doesn't end
// it: the deadline may pass before this goroutine is scheduled and reads what has arrived.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		switch {
		case n > 0:
			c.received(len(p))
			return n, err
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		}
		switch c.expired() {
		case readAgain:
		case endIdle:
			return 0, c.endIdle()
		default:
			return n, err
		}
	}
}

// received records that bytes were read into a buffer of the given size.
func (c *conn) received(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.state {
	case http.StateActive:
		// While a handler runs, net/http detects a closed connection by reading one byte; it is the
		// first of the next request.
		c.begun = c.begun || size == 1
		return
	case http.StateHijacked, http.StateClosed:
		return
	}
	if !c.begun && c.state == http.StateIdle {
		c.deadline = time.Time{}
		if d := c.server.http.ReadHeaderTimeout; d > 0 {
			c.deadline = time.Now().Add(d)
		}
	}
	c.begun, c.woken = true, false
	_ = c.Conn.SetReadDeadline(c.deadline) // the next read returns the error of a closed connection
}

// expiry is what follows from a read deadline that has passed.
type expiry int

const (
	fail      expiry = iota // the read fails
	readAgain               // the connection goes on
	endIdle                 // the connection is idle and ends
)

// expired decides what follows from a read deadline that has passed.
func (c *conn) expired() expiry {
	closing := c.server.isClosing()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != http.StateNew && c.state != http.StateIdle {
		return fail
	}
	if sockopt.HasUnread(c.Conn) {
		_ = c.Conn.SetReadDeadline(time.Time{}) // the read returns the error of a closed connection
		return readAgain
	}
	if c.begun {
		return fail
	}
	if !closing && c.sends.Receiving() { // it isn't idle: the client is receiving the last response
		_ = c.Conn.SetReadDeadline(time.Now().Add(unackedCheck)) // the read returns the error of a closed connection
		return readAgain
	}
	c.ending = true
	return endIdle
}

// endIdle closes an idle connection. It returns the error of the read that waits for a request.
func (c *conn) endIdle() error {
	receiving := c.sends.Receiving()
	if c.server.cfg.CloseNotice != nil && c.mayNotify() {
		_ = c.SetWriteDeadline(time.Now().Add(closeNoticeTime)) // the write returns the error of a closed connection
		_, _ = c.outer.Write(c.server.cfg.CloseNotice)          // the client may have closed the connection as well
	}
	c.linger(receiving)
	return io.EOF
}

// mayNotify reports whether a close notice may be sent.
func (c *conn) mayNotify() bool {
	_, secured := c.outer.(*tls.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if secured && c.state != http.StateIdle {
		return false // the handshake may not be complete
	}
	return !c.resumed
}

// linger closes the connection for writing, and keeps it until the client has received the last
// response. Without one, an unreachable client isn't waited for.
func (c *conn) linger(response bool) {
	if outer, ok := c.outer.(interface{ CloseWrite() error }); ok && c.outer != net.Conn(c) {
		_ = outer.CloseWrite() // fails only if the connection is broken
	}
	if c.CloseWrite() != nil {
		return
	}
	var unread int64
	if response {
		unread, _ = c.sends.Linger(lingerTime)
	} else {
		unread = c.sends.Discard(lingerTime)
	}
	if _, secured := c.outer.(*tls.Conn); unread > 0 && !secured {
		_ = c.server.cfg.Logger.Log("event", "bytes_unread", "name", c.server.cfg.Name,
			"remote", c.RemoteAddr(), "bytes", unread)
	}
}

// CloseWrite closes the connection for writing.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return &net.OpError{Op: "close", Net: "tcp", Err: syscall.ENOTSUP}
	}
	return half.CloseWrite()
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn. Behind a response, the client is given the time to receive it.
func (c *conn) Close() error {
	truncated := c.endHTTP10()
	if !c.beginLinger() {
		c.server.remove(c)
		return c.Conn.Close()
	}
	go func() {
		if truncated {
			c.sends.LingerBeforeReset()
		} else {
			c.linger(true)
		}
		c.server.remove(c)
		_ = c.Conn.Close() // nothing more is sent
	}()
	return nil
}

// beginLinger reports whether a connection that is closed is to linger first.
func (c *conn) beginLinger() bool {
	aborted := c.server.aborted.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	if aborted || c.ending || c.state != http.StateActive {
		return false
	}
	c.ending = true
	return true
}

// resume prepares a hijacked connection for net/http. begun tells whether a part of the next request
// was read already.
func (c *conn) resume(begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.begun, c.resumed = http.StateNew, begun, true
}
