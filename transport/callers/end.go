package callers

import (
	"errors"
	"io"
	"os"
	"time"
)

// lingerTime is how long a connection that was closed on this side is read
// on behind what its caller has taken: closing one with unread bytes would reset
// it, and the caller might lose the last answer.
const lingerTime = 500 * time.Millisecond

// failed ends the connection when no further request can be read.
func (c *conn) failed(err error) {
	c.mu.Lock()
	asked := c.ending
	c.ending = true
	last := c.last
	c.mu.Unlock()
	var read *readError
	between := errors.As(err, &read) && read.between
	switch {
	case between && (asked || errors.Is(err, os.ErrDeadlineExceeded)):
		<-last
	case between:
		// The caller has left. What it still waits for is cancelled.
		c.callerLeft()
		<-last
		_ = c.raw.Close() // there is nobody to tell
		return
	default:
		_ = c.server.cfg.Logger.Log("event", "request_unreadable", "remote", c.raw.RemoteAddr().String(), "err", err)
		<-last
		if c.writable() {
			c.refuse(read.status())
		}
	}
	c.finish()
}

// refuse answers a request that can't be read.
func (c *conn) refuse(status int) {
	_, _ = io.WriteString(c.bw, "HTTP/1.1 "+statusLine(status)+"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	_ = c.bw.Flush() // the connection ends in any case
}

// finish ends the connection after the last answer.
func (c *conn) finish() {
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		_ = c.raw.Close() // there is nothing more to say
		return
	}
	if !c.linger() {
		c.noteUnsent()
	}
	_ = c.raw.Close() // nothing is left to do with it
}

// linger reads on until the caller closes the connection, or has had lingerTime since it has taken
// all that was sent, or takes nothing any more. It reports whether the caller has closed it: nothing
// that it sends can reset the connection then.
func (c *conn) linger() (closed bool) {
	unread := int64(0)
	defer func() { c.noteUnread(unread) }()
	for {
		untaken := c.untaken
		c.lingerOn()
		n, err := io.Copy(io.Discard, c.raw)
		unread += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
		if !c.takesOn() && c.untaken == untaken {
			return false
		}
	}
}

// lingerOn bounds the time in which the connection is read on. The end of an answer doesn't change it
// any more.
func (c *conn) lingerOn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = true
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime)) // the read reports a closed one
}
