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
	// before is closed when the response before this one is complete, done when
	// this one is.
	before <-chan struct{}
	done   chan struct{}
	// bodyEnd is closed when the request's body was read to its end.
	bodyEnd chan struct{}
	// last says that the connection ends with this response.
	last atomic.Bool
	// began is when the request's head was read, and ahead the number of requests before it
	// that were not answered then.
	began time.Time
	ahead int
	// ready says that the handler has given its answer, which may wait for its turn.
	ready atomic.Bool
	// partial says that the response is sent before it is whole, so that it may break off.
	partial atomic.Bool
	// whole says that the response is complete. The goroutine that answers sets it.
	whole bool
	// noted says that the log tells that the response was cut.
	noted atomic.Bool
}

// newExchange queues a request behind the one before it.
func (c *conn) newExchange(req *http.Request) *exchange {
	ctx, cancel := context.WithCancel(c.ctx)
	x := &exchange{conn: c, cancel: cancel, done: make(chan struct{}), began: time.Now()}
	x.req = req.WithContext(ctx)
	x.last.Store(req.Close || c.server.leaving.Load())
	c.mu.Lock()
	x.before = c.last
	c.last = x.done
	c.mu.Unlock()
	x.w = &response{x: x, header: make(http.Header)}
	if x.hasBody() {
		x.bodyEnd = make(chan struct{})
		expected := req.Header.Get("Expect") == "100-continue"
		x.req.Body = &requestBody{ReadCloser: req.Body, x: x, expected: expected}
	}
	return x
}

func (x *exchange) hasBody() bool { return x.req.Body != nil && x.req.Body != http.NoBody }

// bodyEnded reports whether the body was read to its end.
func (x *exchange) bodyEnded() bool {
	select {
	case <-x.bodyEnd:
		return true
	default:
		return false
	}
}

// drainBody reads what the handler has left of the body and reports whether the
// next request may follow.
func (x *exchange) drainBody() bool {
	if x.last.Load() {
		return true
	}
	b := x.req.Body.(*requestBody)
	if b.undecided() {
		return false
	}
	n, err := io.CopyN(io.Discard, b, maxDiscard)
	return err == io.EOF || err == nil && n < maxDiscard
}

// leavesBody reports whether it is known that too much of the body is left for another request to
// follow.
func (x *exchange) leavesBody() bool {
	b, ok := x.req.Body.(*requestBody)
	if !ok || x.bodyEnded() {
		return false
	}
	return b.undecided() || x.req.ContentLength-b.read.Load() > maxDiscard
}

// requestBody is a request's body. It asks for the body when it is first read,
// where the caller waits for that, and tells when it was read to its end.
type requestBody struct {
	io.ReadCloser
	x        *exchange
	expected bool
	asked    atomic.Bool
	read     atomic.Int64 // in bytes
	once     sync.Once
}

// undecided reports whether the caller may send the body or leave it out.
func (b *requestBody) undecided() bool { return b.expected && !b.asked.Load() }

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.undecided() {
		b.asked.Store(true)
		b.x.w.proceed()
	}
	n, err := b.ReadCloser.Read(p)
	b.read.Add(int64(n))
	if err == io.EOF {
		b.once.Do(func() { close(b.x.bodyEnd) })
	}
	return n, err
}
