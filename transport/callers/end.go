package callers

import (
	"errors"
	"io"
	"os"
	"time"
)

// lingerTime is how long the server keeps reading a connection after it has closed
// its sending side and the caller has acknowledged everything: closing a socket
// with unread bytes resets the connection, and the caller might lose the last
// response.
const lingerTime = 500 * time.Millisecond

// handleReadError ends the connection after the responses to the requests that were read. err is
// the *readError because of which no further request can be read.
func (c *conn) handleReadError(err error) {
	c.mu.Lock()
	expected := c.readStopped
	c.readStopped = true
	last := c.newestDone
	c.mu.Unlock()
	var read *readError
	between := errors.As(err, &read) && read.betweenRequests
	switch {
	case between && (expected || errors.Is(err, os.ErrDeadlineExceeded)):
		<-last
	case between:
		// The caller has closed the connection.
		c.handleCallerGone()
		<-last
		_ = c.raw.Close() // the caller is gone
		return
	default:
		_ = c.server.cfg.Logger.Log("event", "request_unreadable", "remote", c.raw.RemoteAddr().String(), "err", err)
		<-last
		if c.writable() {
			c.reject(read.status())
		}
	}
	c.finish()
}

// reject sends an error response to a request that can't be read.
func (c *conn) reject(status int) {
	_, _ = io.WriteString(c.bw, "HTTP/1.1 "+statusLine(status)+"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	_ = c.bw.Flush() // the connection is closed in any case
}

// finish closes the connection after the last response, lingering if it can be half closed.
func (c *conn) finish() {
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		_ = c.raw.Close() // nothing more is sent
		return
	}
	if !c.linger() {
		c.logUnsent()
	}
	_ = c.raw.Close() // nothing more is sent
}

// linger keeps the connection until the caller has received the last response. It returns true if the
// caller has closed the connection.
func (c *conn) linger() (closed bool) {
	c.mu.Lock()
	c.lingering = true // armIdle, which runs at the end of each response, no longer changes the deadline
	c.mu.Unlock()
	unread, closed := c.sends.Linger(lingerTime)
	c.logUnread(unread)
	return closed
}
