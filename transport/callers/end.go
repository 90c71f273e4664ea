package callers

import (
	"errors"
	"io"
	"os"
	"time"
)

// lingerTime is how long a connection that was closed on this side is read
// on: closing one with unread bytes would reset it, and the caller might
// lose the last answer.
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
	c.beginLingering()
	time.AfterFunc(lingerTime, c.closeNoting)
	unread, _ := io.Copy(io.Discard, c.raw) // until the caller closes it too
	c.noteUnread(unread)
	c.closeNoting()
}

// beginLingering bounds the time in which the connection is read on. The end of an answer doesn't
// change it any more.
func (c *conn) beginLingering() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = true
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime)) // the read reports a closed one
}

// closeNoting closes the connection and notes what its caller hasn't taken. Twice does no harm.
func (c *conn) closeNoting() {
	c.noted.Do(c.noteUnsent)
	_ = c.raw.Close() // it was read and written for the last time
}
