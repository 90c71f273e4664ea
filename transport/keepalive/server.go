// Package keepalive runs net/http servers without losing requests that have arrived when a
// connection ends.
//
// net/http's own Shutdown closes each connection that it holds for idle, and drops each request
// whose head it has read after the call. It goes by what its goroutines have read so far: a request
// that lies in the kernel, or that a goroutine has not been scheduled to read, is lost. An idle
// timeout that has expired ends a connection in the same way. Here the goroutine that reads a
// connection decides, after a look into the kernel, and net/http's Shutdown is called only once no
// connection is left.
package keepalive

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

// Config configures a Server.
type Config struct {
	// Name names the server in the log.
	Name string
	// Wrap is put around the listener, for example for TLS. Nil wraps nothing.
	Wrap func(net.Listener) net.Listener
	// CloseNotice is a response that is sent on an idle connection before it is closed. A client whose
	// request crosses the close gets it as the response, so it must say that the request was not
	// run. Only clients that discard unrequested responses may get it; nil sends nothing.
	CloseNotice []byte
	// Logger logs what arrives on connections that the server has closed.
	Logger log.Logger
}

// Server is a net/http server. It is safe for concurrent use.
type Server struct {
	http    *http.Server
	cfg     Config
	leaving atomic.Bool
	aborted atomic.Bool // Close was called
	wrap    sync.Once   // of the handler

	mu        sync.Mutex
	conns     map[net.Conn]*conn // by the connection that net/http uses
	listeners map[net.Listener]chan struct{}
	closing   bool // idle connections are closed
}

// New returns a server that runs h. h must not be used otherwise, but its Handler may be set until
// Serve is called.
func New(h *http.Server, cfg Config) *Server {
	s := &Server{http: h, cfg: cfg, conns: make(map[net.Conn]*conn), listeners: make(map[net.Listener]chan struct{})}
	next := h.ConnState
	h.ConnState = func(c net.Conn, state http.ConnState) {
		s.connState(c, state)
		if next != nil {
			next(c, state)
		}
	}
	s.passConns()
	return s
}

// Serve accepts connections until the listener is closed. Like http.Server.Serve, it always returns
// an error.
func (s *Server) Serve(l net.Listener) error {
	s.wrap.Do(func() { s.http.Handler = s.announceClose(resetTruncated(s.http.Handler)) })
	accepting := &listener{Listener: l, server: s}
	accepting.wrapped = accepting.inner()
	if s.cfg.Wrap != nil {
		accepting.wrapped = s.cfg.Wrap(accepting.wrapped)
	}
	done := make(chan struct{})
	defer close(done)
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		_ = l.Close() // nothing was accepted from it
		return http.ErrServerClosed
	}
	s.listeners[l] = done
	s.mu.Unlock()
	return s.http.Serve(accepting)
}

// Resume serves a connection again that a handler has hijacked. begun tells whether a part of the next
// request was read already. Resume returns once a goroutine of its own serves the connection.
func (s *Server) Resume(c net.Conn, begun bool) {
	if tracked := s.tracked(c); tracked != nil {
		tracked.resume(begun)
	}
	l := &single{}
	l.conn.Store(&c)
	_ = s.http.Serve(l) // the listener ends after its only connection
}

// announceClose adds "Connection: close" to responses once Leave has been called.
func (s *Server) announceClose(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Leave makes the server close each connection after the response to the next request on it.
func (s *Server) Leave() { s.leaving.Store(true) }

// CloseIdle ends the connections that are idle now, and goes on serving. A shutdown some time after it
// doesn't wait for clients that notice the end of an idle connection only when they use it.
func (s *Server) CloseIdle() { s.closeIdle() }

// shutdownPollInterval is the interval at which a shutdown checks whether connections are left.
const shutdownPollInterval = 10 * time.Millisecond

// Shutdown stops accepting connections, closes idle ones and waits until all requests that have
// arrived are answered. It returns the error of ctx if that ends earlier; the other connections stay
// open then.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	s.closeListeners(ctx)
	t := time.NewTicker(shutdownPollInterval)
	defer t.Stop()
	for s.closeIdle() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return s.http.Shutdown(ctx)
}

// closeListeners closes the listeners and waits until what they have accepted is known.
func (s *Server) closeListeners(ctx context.Context) {
	s.mu.Lock()
	s.closing = true
	var serving []chan struct{}
	for l, done := range s.listeners {
		_ = l.Close() // Serve sees the closed listener
		serving = append(serving, done)
	}
	s.mu.Unlock()
	for _, done := range serving {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
}

// closeIdle makes all connections end that no request has arrived on, and returns the number of
// connections that are still open.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for _, c := range s.conns {
		if c.endIfIdle() {
			open++
		}
	}
	return open
}

// Close closes the listeners and all connections at once, without waiting for responses.
func (s *Server) Close() error {
	s.aborted.Store(true)
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	return s.http.Close()
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// add starts to track a connection; outer is what net/http uses in its place.
func (s *Server) add(outer net.Conn, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.outer = outer
	s.conns[outer] = c
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.outer)
}

// connState is the ConnState hook of the server.
func (s *Server) connState(outer net.Conn, state http.ConnState) {
	if c := s.tracked(outer); c != nil {
		c.setState(state)
	}
}

// tracked returns the connection below what net/http uses; nil if there is none.
func (s *Server) tracked(outer net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[outer]
}
