package callers

import (
	"bufio"
	"errors"
	"io"
	"os"
	"time"
)

// awaitTurn waits until the requests before x have been answered. Meanwhile it detects a caller
// that closes the connection.
func (c *conn) awaitTurn(x *exchange) {
	select {
	case <-x.prevDone:
		return
	default:
	}
	defer c.watch()()
	<-x.prevDone
}

// acquireSlot waits for a free slot to handle a request. Meanwhile it detects a caller that closes
// the connection. It returns false if the connection ends first.
func (c *conn) acquireSlot() bool {
	select {
	case c.slots <- struct{}{}:
		return true
	default:
	}
	defer c.watch()()
	select {
	case c.slots <- struct{}{}:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// watch detects in the background that the caller closes the connection, while the goroutine that
// reads the connection waits for something else. What the caller sends stays in the read buffer.
// The returned function stops the watch and waits for its end.
func (c *conn) watch() (stop func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.watchCaller()
	}()
	return func() {
		_ = c.raw.SetReadDeadline(past) // a closed connection has ended the watch
		<-ended
		_ = c.raw.SetReadDeadline(time.Time{}) // the next read returns the error of a closed connection
	}
}

// watchCaller cancels the requests of a caller that closes the connection. It returns then, when the
// watch is stopped, or when the read buffer is full.
func (c *conn) watchCaller() {
	for {
		_, err := c.br.Peek(c.br.Buffered() + 1)
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, bufio.ErrBufferFull):
			return
		case errors.Is(err, io.EOF):
			// The caller may have closed its sending side only: its requests are cancelled, but
			// their responses are still sent.
			c.cancelPending()
			return
		default:
			c.handleCallerGone()
			return
		}
	}
}
