package callers

import (
	"bufio"
	"errors"
	"io"
	"os"
	"time"
)

// awaitTurn waits for the answers before a request that was read, and notices a caller that leaves
// meanwhile.
func (c *conn) awaitTurn(x *exchange) {
	select {
	case <-x.before:
		return
	default:
	}
	defer c.watch()()
	<-x.before
}

// takeSlot waits until a request that was read may be worked on, and notices a caller that leaves
// meanwhile. It reports false when the connection has ended before.
func (c *conn) takeSlot() bool {
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

// watch looks whether the caller leaves, while the goroutine that reads the connection waits for
// something else. What the caller sends stays in the buffer. The result ends it.
func (c *conn) watch() (stop func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.watchEnd()
	}()
	return func() {
		_ = c.raw.SetReadDeadline(past) // a closed one has ended the watch
		<-ended
		_ = c.raw.SetReadDeadline(time.Time{}) // the next read reports a closed one
	}
}

// watchEnd returns when the caller has left, when the watch is stopped, or when the buffer is full.
func (c *conn) watchEnd() {
	for {
		_, err := c.br.Peek(c.br.Buffered() + 1)
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, bufio.ErrBufferFull):
			return
		case errors.Is(err, io.EOF):
			// It may have closed its sending side only: what waits is still answered.
			c.cancelOpen()
			return
		default:
			c.callerLeft()
			return
		}
	}
}
