package callers

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// exchange is one request with its response.
type exchange struct {
	conn   *conn
	req    *http.Request
	w      *response
	cancel context.CancelFunc
	// prevDone is closed when the previous request of the connection has been dealt with, done when
	// this one has.
	prevDone <-chan struct{}
	done     chan struct{}
	// bodyEnd is closed when the request's body was read to its end.
	bodyEnd chan struct{}
	// final is set if the connection is closed after this response.
	final atomic.Bool
	// readAt is when the request's head was read, and ahead the number of requests before it
	// that were pending then.
	readAt time.Time
	ahead  int
	// ready is set when the handler has returned; the response may still wait for its turn.
	ready atomic.Bool
	// streaming is set if the response is sent before it is complete, and so may be truncated.
	streaming atomic.Bool
	// complete is set if the response was sent to its end. The goroutine that handles the request
	// sets it before done is closed.
	complete bool
	// cutReported is set once the response was counted as truncated.
	cutReported atomic.Bool
}

// newExchange returns the exchange of a request that was read, queued behind the
// previous one of the connection.
func (c *conn) newExchange(req *http.Request) *exchange {
	ctx, cancel := context.WithCancel(c.ctx)
	x := &exchange{conn: c, cancel: cancel, done: make(chan struct{}), readAt: time.Now()}
	x.req = req.WithContext(ctx)
	x.final.Store(req.Close || c.server.keepAliveOff.Load())
	c.mu.Lock()
	x.prevDone = c.newestDone
	c.newestDone = x.done
	c.mu.Unlock()
	x.w = &response{x: x, header: make(http.Header)}
	if x.hasBody() {
		x.bodyEnd = make(chan struct{})
		expected := req.ProtoAtLeast(1, 1) && req.Header.Get("Expect") == "100-continue"
		x.req.Body = &requestBody{ReadCloser: req.Body, x: x, expectsContinue: expected}
	}
	return x
}

func (x *exchange) hasBody() bool { return x.req.Body != nil && x.req.Body != http.NoBody }

// bodyEnded reports whether the request's body was read to its end.
func (x *exchange) bodyEnded() bool {
	select {
	case <-x.bodyEnd:
		return true
	default:
		return false
	}
}

// drainBody discards the part of the body that the handler didn't read, and reports
// whether the next request may be read. It reads nothing if the connection is closed
// anyway.
func (x *exchange) drainBody() bool {
	if x.final.Load() {
		return true
	}
	b := x.req.Body.(*requestBody)
	if b.awaitsContinue() {
		return false
	}
	n, err := io.CopyN(io.Discard, b, maxDiscard)
	return err == io.EOF || err == nil && n < maxDiscard
}

// bodyExceedsDiscard reports whether it is already known that drainBody can't reach the next
// request, since the body's rest exceeds maxDiscard or the caller may leave it out.
func (x *exchange) bodyExceedsDiscard() bool {
	b, ok := x.req.Body.(*requestBody)
	if !ok || x.bodyEnded() {
		return false
	}
	return b.awaitsContinue() || x.req.ContentLength-b.read.Load() > maxDiscard
}

// requestBody is a request's body. Its first Read sends "100 Continue" if the
// caller waits for that. At the body's end it closes the exchange's bodyEnd.
type requestBody struct {
	io.ReadCloser
	x               *exchange
	expectsContinue bool
	continueSent    atomic.Bool
	read            atomic.Int64 // in bytes
	once            sync.Once
}

// awaitsContinue reports whether "100 Continue" is expected and was not sent: the caller
// may then send the body or leave it out.
func (b *requestBody) awaitsContinue() bool { return b.expectsContinue && !b.continueSent.Load() }

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.awaitsContinue() {
		b.continueSent.Store(true)
		b.x.w.proceed()
	}
	n, err := b.ReadCloser.Read(p)
	b.read.Add(int64(n))
	if err == io.EOF {
		b.once.Do(func() { close(b.x.bodyEnd) })
	}
	return n, err
}
