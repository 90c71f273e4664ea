package callers

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// connBuffer is the size of a connection's buffers, in bytes.
	connBuffer = 4 << 10
	// maxDiscard bounds what is read of a body that the handler has left, in
	// bytes; a longer rest ends the connection.
	maxDiscard = 256 << 10
)

// conn is one caller's connection. Its serve goroutine reads requests; each is
// answered on a goroutine of its own.
type conn struct {
	server *Server
	raw    net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	head   headLimit
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{} // bounds the requests that are worked on

	mu      sync.Mutex
	open    []*exchange // requests that were read and are not answered, in order
	reading bool        // a request has begun to arrive and isn't among open yet
	ending  bool        // no further request is to be read
	closing bool        // an answer that ends the connection has begun
	ended   bool        // an answer that ends the connection was sent
	left    bool        // the caller has closed the connection or gone silent
	lingers bool        // the connection is only kept until the caller has what was sent
	// brokenBy is the request whose answer was cut first; nothing more may be written then.
	brokenBy *exchange
	last     chan struct{}
	// untaken is what the caller had not acknowledged at the last look, in bytes, and untakenSince
	// when that was first seen. They belong to the goroutine that reads.
	untaken      int
	untakenSince time.Time
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, slots: make(chan struct{}, max(1, s.cfg.Ahead))}
	c.head.conn = raw
	c.br = bufio.NewReaderSize(&c.head, connBuffer)
	c.bw = bufio.NewWriterSize(raw, connBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	done := make(chan struct{})
	close(done)
	c.last = done
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.forget(c)
	defer c.cancel()
	for {
		x, err := c.next()
		if err != nil {
			c.failed(err)
			return
		}
		if !c.start(x) {
			c.finish()
			return
		}
	}
}

// next reads one request.
func (c *conn) next() (*exchange, error) {
	if err := c.awaitRequest(); err != nil {
		return nil, &readError{err: err, between: true}
	}
	limits := c.server.cfg.Limits() // they may have changed while the connection was idle
	c.head.allow(limits.HeaderBytes)
	c.begin(limits)
	req, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, &readError{err: err, tooLarge: c.head.exceeded}
	}
	c.head.unlimited()
	_ = c.raw.SetReadDeadline(time.Time{}) // likewise
	if err := check(req); err != nil {
		return nil, &readError{err: err}
	}
	req.RemoteAddr = c.raw.RemoteAddr().String()
	return c.newExchange(req), nil
}

// start answers a request on a goroutine of its own and returns when the next
// request may be read. A request that may not run again waits for the answers
// before it: if one of them ends the connection, the caller sends what came
// after it once more. So does one behind an answer that may break off. It reports
// false when no request is to be read any more.
func (c *conn) start(x *exchange) bool {
	ahead := x.req.Method == http.MethodGet || x.req.Method == http.MethodHead
	if !ahead || x.hasBody() || c.mayBreakOff() {
		c.awaitTurn(x)
	}
	if !c.takeSlot() || !c.admit(x) {
		<-x.before
		return false
	}
	go c.answer(x)
	if x.last.Load() {
		c.attend(x)
		return false
	}
	if !x.hasBody() {
		return true
	}
	select {
	case <-x.bodyEnd: // the next request begins after the body
	case <-x.done:
		// Where the answer isn't whole or ends the connection, the handler may still read the body.
		return x.whole && !x.last.Load()
	}
	return true
}

// mayBreakOff reports whether one of the answers under way is sent before it is whole.
func (c *conn) mayBreakOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.open, func(x *exchange) bool { return x.partial.Load() })
}

// admit counts a request that was read, unless the connection has ended before
// it.
func (c *conn) admit(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.brokenBy != nil || c.closing {
		return false
	}
	x.ahead = len(c.open)
	c.open = append(c.open, x)
	c.reading = false
	return true
}

// close notes that an answer ends the connection.
func (c *conn) close(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	x.last.Store(true)
}

// closeIfNewest lets an answer end the connection unless requests stand behind
// it: those are answered first.
func (c *conn) closeIfNewest(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == x.done {
		c.closing = true
		x.last.Store(true)
	}
}

// writable reports whether further answers may be written.
func (c *conn) writable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.brokenBy == nil && !c.ended
}

// answer answers a request and reads what is left of it.
func (c *conn) answer(x *exchange) {
	defer c.answered(x)
	if x.whole = c.respond(x); !x.whole {
		if x.w.callerGone() {
			c.callerLeft()
		}
		c.breakOff(x)
		return
	}
	if x.hasBody() && !x.drainBody() {
		c.close(x)
	}
}

// respond runs the handler and completes its response. One that fails before a part of it was
// sent is replaced, so that the other responses on the connection don't fail with it. It reports
// false where the response isn't complete.
func (c *conn) respond(x *exchange) bool {
	status := c.handle(x)
	if status == 0 {
		x.ready.Store(true)
		if x.w.complete() == nil {
			return true
		}
		status = http.StatusBadGateway
	}
	if !x.w.replace(status) || x.w.complete() != nil {
		return false
	}
	c.server.cfg.Metrics.GetOrCreateCounter("jacinthgate_callers_replaced_total").Inc()
	_ = c.server.cfg.Logger.Log("event", "answer_replaced", "request", c.server.idOf(x), "path", x.req.URL.Path, "status", status)
	return true
}

// handle runs the handler. It returns the status to answer with where the handler failed, or
// else 0.
func (c *conn) handle(x *exchange) (status int) {
	defer func() {
		switch err := recover(); err {
		case nil:
		case http.ErrAbortHandler:
			status = http.StatusBadGateway
		default:
			_ = c.server.cfg.Logger.Log("event", "handler_panicked", "path", x.req.URL.Path, "err", err)
			status = http.StatusInternalServerError
		}
	}()
	c.server.cfg.Handler.ServeHTTP(x.w, x.req)
	return 0
}

// answered ends a request.
func (c *conn) answered(x *exchange) {
	x.cancel()
	c.noteCut(x)
	c.mu.Lock()
	c.open = slices.DeleteFunc(c.open, func(o *exchange) bool { return o == x })
	if x.last.Load() && !c.ended {
		c.ended, c.ending = true, true
		c.cancel() // what was sent behind it is not answered
	}
	c.mu.Unlock()
	<-c.slots
	close(x.done)
	c.armIdle(c.server.cfg.Limits())
}

// breakOff ends the connection without completing a request's answer.
func (c *conn) breakOff(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return // the answer that ended the connection is left to arrive
	}
	if c.brokenBy == nil {
		c.brokenBy = x
	}
	c.ending = true
	c.cancel()
	_ = c.raw.Close() // the caller must not take a part for the whole
}
