package keepalive

import (
	"context"
	"net"
	"net/http"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// http10Response is the response to an HTTP/1.0 request, which the end of the connection may delimit.
// Until it was sent, a close resets the connection, so that the client doesn't take a part of it for the
// whole.
type http10Response struct {
	request *http.Request // nil if there is none
	// returned is set once the handler has returned. net/http may still have to send a part.
	returned bool
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// passConns makes the server pass its connections to handlers.
func (s *Server) passConns() {
	next := s.http.ConnContext
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, s.tracked(c))
	}
}

// resetTruncated resets connections whose response of unknown length to an HTTP/1.0 request is truncated.
func resetTruncated(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil || r.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, r)
			return
		}
		c.beginHTTP10(r)
		h.ServeHTTP(w, r) // a handler that aborts its response panics
		c.returnHTTP10(r)
	})
}

func (c *conn) beginHTTP10(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setHTTP10(r)
}

// returnHTTP10 records that the handler of a request has returned. If it has hijacked the connection, this
// may serve another request by now.
func (c *conn) returnHTTP10(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http10.request == r {
		c.http10.returned = true
	}
}

// endHTTP10 records that the connection is being closed, and reports whether a response is truncated.
func (c *conn) endHTTP10() (truncated bool) {
	aborted := c.server.aborted.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http10.returned && !aborted {
		c.setHTTP10(nil)
	}
	return c.http10.request != nil
}

// setHTTP10 sets the request whose response has begun; nil for none. The caller holds c.mu.
func (c *conn) setHTTP10(r *http.Request) {
	if (c.http10.request != nil) != (r != nil) {
		sockopt.SetResetOnClose(c.Conn, r != nil)
	}
	c.http10 = http10Response{request: r}
}
