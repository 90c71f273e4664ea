package callers

import (
	"strconv"
	"time"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// cutCause says why a request that was read gets no whole answer.
type cutCause string

// The causes.
const (
	// cutCallerLeft: the caller has closed its connection.
	cutCallerLeft cutCause = "caller-left"
	// cutBroken: the handler has broken the answer off, or it couldn't be written.
	cutBroken cutCause = "broken"
	// cutBehind: another request's answer has broken off and ended the connection.
	cutBehind cutCause = "behind"
	// cutShutdown: the time for a graceful shutdown is over.
	cutShutdown cutCause = "shutdown"
)

// CutError reports requests that a shutdown has left without an answer.
type CutError struct {
	// Requests is their number.
	Requests int
}

// Error implements error.
func (e *CutError) Error() string {
	return strconv.Itoa(e.Requests) + " requests were under way at the end of the shutdown"
}

// count counts a request that gets no whole answer.
func (s *Server) count(cause cutCause) {
	s.cfg.Metrics.GetOrCreateCounter(`jacinthgate_callers_cut_total{cause="` + string(cause) + `"}`).Inc()
}

// cancelOpen cancels the requests that are under way.
func (s *Server) cancelOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancelOpen()
	}
}

// cancelOpen cancels a connection's requests that are under way.
func (c *conn) cancelOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.open {
		x.cancel()
	}
}

// cutOpen notes the requests that are still under way, whose connections are about to be
// closed.
func (s *Server) cutOpen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.cutOpen()
	}
	if n == 0 {
		return nil
	}
	return &CutError{Requests: n}
}

// cutOpen notes a connection's requests that are under way, and returns their number.
func (c *conn) cutOpen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.open {
		x.cut(cutShutdown, c.brokenBy)
	}
	return len(c.open)
}

// callerLeft cancels what a caller that has left still waits for.
func (c *conn) callerLeft() {
	c.mu.Lock()
	c.left = true
	c.mu.Unlock()
	c.cancel()
}

// callerHasLeft reports whether the caller has closed the connection or gone silent.
func (c *conn) callerHasLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left
}

// noteCut notes a request whose response isn't complete.
func (c *conn) noteCut(x *exchange) {
	if x.whole {
		return
	}
	c.mu.Lock()
	left, by := c.left, c.brokenBy
	c.mu.Unlock()
	switch {
	case left:
		x.cut(cutCallerLeft, by)
	case by != nil && by != x:
		x.cut(cutBehind, by)
	default:
		x.cut(cutBroken, by)
	}
}

// noteUnread notes what has arrived on a connection after it was closed on this side.
func (c *conn) noteUnread(bytes int64) {
	if bytes == 0 {
		return
	}
	_ = c.server.cfg.Logger.Log("event", "bytes_unread", "remote", c.raw.RemoteAddr().String(), "bytes", bytes)
}

// endBytes is what the end of a connection counts as in the kernel's queue.
const endBytes = 1

// noteUnsent notes what the caller hasn't taken of the last answers, behind which the end of the
// connection was sent.
func (c *conn) noteUnsent() {
	untaken, _ := sockopt.Unsent(c.raw) // 0 where it isn't known
	if unsent := untaken - endBytes; unsent > 0 {
		_ = c.server.cfg.Logger.Log("event", "bytes_unsent", "remote", c.raw.RemoteAddr().String(), "bytes", unsent)
	}
}

// cut counts a response that is cut, and logs it unless the caller has asked for that.
// by is the request whose answer broke the connection off; nil where none did.
func (x *exchange) cut(cause cutCause, by *exchange) {
	if x.noted.Swap(true) {
		return
	}
	s := x.conn.server
	s.count(cause)
	if cause == cutCallerLeft {
		return
	}
	_ = s.cfg.Logger.Log("event", "request_cut", "request", s.idOf(x), "path", x.req.URL.Path,
		"cause", cause, "leaving", s.leaving.Load(), "took", time.Since(x.began),
		"remote", x.conn.raw.RemoteAddr(), "ahead", x.ahead, "ready", x.ready.Load(), "begun", x.w.begun.Load(), "broken_by", s.idOf(by))
}

// idOf returns the identifier that the caller gave a request; empty for none.
func (s *Server) idOf(x *exchange) string {
	if x == nil {
		return ""
	}
	return s.cfg.RequestID(x.req.Header)
}
