package callers

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

const (
	// connBuffer is the size of a connection's read buffer and write buffer, in
	// bytes.
	connBuffer = 4 << 10
	// maxDiscard bounds how much of a body that the handler didn't read is
	// discarded to reach the next request, in bytes. If more is left, the
	// connection is closed.
	maxDiscard = 256 << 10
)

// conn is one caller's connection. Its serve goroutine reads requests; each request
// is handled on a goroutine of its own.
type conn struct {
	server *Server
	raw    net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	head   headLimit
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{} // bounds the requests that are handled concurrently

	mu          sync.Mutex
	pending     []*exchange // requests that were read and are not answered, in order
	usedAt      time.Time   // when the connection was opened or its last request was answered
	reading     bool        // a request has begun to arrive and isn't in pending yet
	readStopped bool        // no further request is to be read
	finalBegun  bool        // the final response, after which the connection is closed, has begun
	finalSent   bool        // the final response was sent
	callerGone  bool        // the caller has closed the connection or doesn't respond
	lingering   bool        // the connection is only kept until the caller has received the last response
	// brokenBy is the first request whose response was truncated; nothing may be written after it.
	brokenBy *exchange
	// newestDone is closed when the newest request is answered. Without a request it is closed.
	newestDone chan struct{}
	// sends observes whether the caller receives responses. Only the goroutine that reads uses it.
	sends sockopt.Sends
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, slots: make(chan struct{}, max(1, s.cfg.PipelineDepth))}
	c.usedAt = time.Now()
	c.head.conn = raw
	c.sends.Conn = raw
	c.br = bufio.NewReaderSize(&c.head, connBuffer)
	c.bw = bufio.NewWriterSize(raw, connBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	done := make(chan struct{})
	close(done)
	c.newestDone = done
	return c
}

// serve reads requests and starts their handling until the connection ends.
func (c *conn) serve() {
	defer c.server.forget(c)
	defer c.cancel()
	for {
		x, err := c.next()
		if err != nil {
			c.handleReadError(err)
			return
		}
		if !c.start(x) {
			c.finish()
			return
		}
	}
}

// next reads the head of the next request. The error is a *readError.
func (c *conn) next() (*exchange, error) {
	if err := c.awaitRequest(); err != nil {
		return nil, &readError{err: err, betweenRequests: true}
	}
	limits := c.server.cfg.Limits() // they may have changed while the connection was idle
	c.head.limit(limits.HeaderBytes)
	c.beginRequest(limits)
	req, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, &readError{err: err, tooLarge: c.head.exceeded}
	}
	c.head.unlimited()
	_ = c.raw.SetReadDeadline(time.Time{}) // the next read returns the error of a closed connection
	if err := check(req); err != nil {
		return nil, &readError{err: err}
	}
	req.RemoteAddr = c.raw.RemoteAddr().String()
	return c.newExchange(req), nil
}

// start handles a request on a goroutine of its own and returns when the next
// request may be read. It returns false if no further request is to be read.
//
// A request other than GET and HEAD waits for the responses before it: if one of
// them closes the connection, the caller sends all later requests again, and this
// one must not run twice. A request with a body waits as well, and so does every
// request behind a response that is streamed, since that may be truncated, which
// closes the connection.
func (c *conn) start(x *exchange) bool {
	pipelined := x.req.Method == http.MethodGet || x.req.Method == http.MethodHead
	if !pipelined || x.hasBody() || c.hasStreaming() {
		c.awaitTurn(x)
	}
	if !c.acquireSlot() || !c.admit(x) {
		<-x.prevDone
		return false
	}
	go c.process(x)
	if x.final.Load() {
		c.awaitFinal(x)
		return false
	}
	if !x.hasBody() {
		return true
	}
	select {
	case <-x.bodyEnd: // the next request begins after the body
	case <-x.done:
		// If the response is truncated or closes the connection, the handler's goroutines may still
		// be reading the body.
		return x.complete && !x.final.Load()
	}
	return true
}

// hasStreaming reports whether a response in flight is streamed, that is, sent before it is
// complete.
func (c *conn) hasStreaming() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.pending, func(x *exchange) bool { return x.streaming.Load() })
}

// admit adds a request to the pending ones. It returns false if an earlier response
// closes the connection.
func (c *conn) admit(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.brokenBy != nil || c.finalBegun {
		return false
	}
	x.ahead = len(c.pending)
	c.pending = append(c.pending, x)
	c.reading = false
	return true
}

// closeAfter marks a response as final: the connection is closed after it.
func (c *conn) closeAfter(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finalBegun = true
	x.final.Store(true)
}

// closeAfterIfNewest marks a response as final unless requests were read behind it:
// those are answered first.
func (c *conn) closeAfterIfNewest(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newestDone == x.done {
		c.finalBegun = true
		x.final.Store(true)
	}
}

// writable reports whether further responses may be written.
func (c *conn) writable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.brokenBy == nil && !c.finalSent
}

// process handles a request, sends its response and discards the rest of its body. If
// the response can't be completed, it closes the connection.
func (c *conn) process(x *exchange) {
	defer c.release(x)
	if x.complete = c.respond(x); !x.complete {
		if x.w.callerClosed() {
			c.handleCallerGone()
		}
		c.abort(x)
		return
	}
	if x.hasBody() && !x.drainBody() {
		c.closeAfter(x)
	}
}

// respond runs the handler and completes its response. A response that fails before any part of it
// was sent is replaced, so that the other responses on the connection don't fail with it. It
// returns false if the response is truncated.
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

// handle runs the handler. If the handler fails, it returns the status of the response that
// replaces the handler's, else 0.
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

// release ends the handling of a request: it reports a truncated response, removes the request
// from the pending ones, frees its slot and lets the next response begin.
func (c *conn) release(x *exchange) {
	x.cancel()
	c.reportCut(x)
	c.mu.Lock()
	c.pending = slices.DeleteFunc(c.pending, func(o *exchange) bool { return o == x })
	c.usedAt = time.Now()
	if x.final.Load() && !c.finalSent {
		c.finalSent, c.readStopped = true, true
		c.cancel() // requests behind the final response are not answered
	}
	c.mu.Unlock()
	<-c.slots
	close(x.done)
	c.armIdle(c.server.cfg.Limits())
}

// abort closes the connection without completing a request's response: the caller must not take a
// truncated response for a complete one.
func (c *conn) abort(x *exchange) {
	if !c.breakOff(x) {
		return
	}
	if x.w.endsWithConnection.Load() {
		c.reportCut(x) // before the end of the connection is taken for the caller's
		c.logUnread((&sockopt.Sends{Conn: c.raw}).LingerBeforeReset())
	}
	_ = c.raw.Close() // nothing more is sent
}

// breakOff records that a request's response is truncated, so that nothing is sent after it. It returns
// false if the final response was sent: closing the connection could keep that from arriving.
func (c *conn) breakOff(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finalSent {
		return false
	}
	if c.brokenBy == nil {
		c.brokenBy = x
	}
	c.readStopped = true
	c.cancel()
	return true
}
