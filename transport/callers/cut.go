package callers

import (
	"strconv"
	"time"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// cutCause is the reason why a request that was read gets no complete response. It is a
// label of a metric and a value in the log.
type cutCause string

const (
	// cutCallerLeft: the caller closed its connection.
	cutCallerLeft cutCause = "caller-left"
	// cutBroken: the handler aborted the response, or it couldn't be written.
	cutBroken cutCause = "broken"
	// cutBehind: another response on the connection was truncated, which closed it.
	cutBehind cutCause = "behind"
	// cutShutdown: the time for a graceful shutdown ran out.
	cutShutdown cutCause = "shutdown"
)

// CutError is returned by a shutdown that ended while requests had no complete response.
type CutError struct {
	// Requests is the number of such requests.
	Requests int
}

// Error implements error.
func (e *CutError) Error() string {
	return strconv.Itoa(e.Requests) + " requests were still in flight at the end of the shutdown"
}

// countCut counts a request without a complete response.
func (s *Server) countCut(cause cutCause) {
	s.cfg.Metrics.GetOrCreateCounter(`jacinthgate_callers_cut_total{cause="` + string(cause) + `"}`).Inc()
}

// cancelPending cancels the pending requests of all connections.
func (s *Server) cancelPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancelPending()
	}
}

// cancelPending cancels the connection's pending requests.
func (c *conn) cancelPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.pending {
		x.cancel()
	}
}

// reportPending counts and logs the requests that are still pending at the end of a shutdown,
// when their connections are about to be closed. It returns a *CutError if there are any.
func (s *Server) reportPending() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.reportPending()
	}
	if n == 0 {
		return nil
	}
	return &CutError{Requests: n}
}

// reportPending counts and logs the connection's pending requests, and returns their number.
func (c *conn) reportPending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.pending {
		x.reportCut(cutShutdown, c.brokenBy)
	}
	return len(c.pending)
}

// handleCallerGone records that the caller has closed the connection, and cancels its requests.
func (c *conn) handleCallerGone() {
	c.mu.Lock()
	c.callerGone = true
	c.mu.Unlock()
	c.cancel()
}

// isCallerGone reports whether the caller has closed the connection or doesn't respond.
func (c *conn) isCallerGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callerGone
}

// reportCut counts and logs a request whose response isn't complete, with the cause.
func (c *conn) reportCut(x *exchange) {
	if x.complete {
		return
	}
	c.mu.Lock()
	gone, by := c.callerGone, c.brokenBy
	c.mu.Unlock()
	switch {
	case gone:
		x.reportCut(cutCallerLeft, by)
	case by != nil && by != x:
		x.reportCut(cutBehind, by)
	default:
		x.reportCut(cutBroken, by)
	}
}

// logUnread logs the number of bytes that arrived on a connection after the server had closed it
// for writing.
func (c *conn) logUnread(bytes int64) {
	if bytes == 0 {
		return
	}
	_ = c.server.cfg.Logger.Log("event", "bytes_unread", "remote", c.raw.RemoteAddr().String(), "bytes", bytes)
}

// endBytes is the size of a FIN in the kernel's send queue.
const endBytes = 1

// logUnsent logs how many bytes of the last responses the caller hasn't acknowledged. It is called
// after CloseWrite, so that a FIN may be in the send queue.
func (c *conn) logUnsent() {
	unacked, _ := sockopt.SendQueue(c.raw) // 0 if unknown
	if unsent := unacked - endBytes; unsent > 0 {
		_ = c.server.cfg.Logger.Log("event", "bytes_unsent", "remote", c.raw.RemoteAddr().String(), "bytes", unsent)
	}
}

// reportCut counts a request without a complete response, once, and logs it unless the caller has
// closed the connection itself. by is the request whose truncated response closed the connection;
// nil if none did.
func (x *exchange) reportCut(cause cutCause, by *exchange) {
	if x.cutReported.Swap(true) {
		return
	}
	s := x.conn.server
	s.countCut(cause)
	if cause == cutCallerLeft {
		return
	}
	_ = s.cfg.Logger.Log("event", "request_cut", "request", s.idOf(x), "path", x.req.URL.Path,
		"cause", cause, "leaving", s.keepAliveOff.Load(), "took", time.Since(x.readAt),
		"remote", x.conn.raw.RemoteAddr(), "ahead", x.ahead, "ready", x.ready.Load(), "begun", x.w.begun.Load(), "broken_by", s.idOf(by))
}

// idOf returns the identifier that the caller assigned to a request; empty for nil.
func (s *Server) idOf(x *exchange) string {
	if x == nil {
		return ""
	}
	return s.cfg.RequestID(x.req.Header)
}
