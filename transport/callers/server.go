// Package callers serves HTTP/1.1 to the callers on a host. net/http's server
// serves the requests of one connection one after the other; this one works on
// requests that a caller has sent ahead at the same time and answers them in
// order, takes its limits from the configuration in force, and notices a caller
// that has left also while requests wait behind the present one. A handler that
// fails before a part of its response was sent ends no connection: the response
// is replaced by 502, or by 500 after a panic. Requests and their bodies are
// read by net/http.
package callers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
)

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes bounds a request's head, in bytes.
	HeaderBytes int
	// HeaderTimeout bounds the time in which a head arrives.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout time.Duration
}

// Config configures a Server.
type Config struct {
	// Handler answers requests. It runs on several goroutines for one
	// connection.
	Handler http.Handler
	// Limits returns the limits in force. It must not block.
	Limits func() Limits
	// Ahead is the number of requests of one connection that are worked on at
	// the same time.
	Ahead int
	// RequestID returns the identifier that the caller gave its request.
	RequestID func(headers map[string][]string) string
	// Metrics is the set that metrics are registered in.
	Metrics *metrics.Set
	// Logger gets a line for each request that can't be read or whose answer is
	// cut or replaced, and for each handler that panics.
	Logger log.Logger
}

// Server serves callers' connections.
type Server struct {
	cfg     Config
	leaving atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	closed   bool
}

// New returns a server.
func New(cfg Config) *Server { return &Server{cfg: cfg, conns: make(map[*conn]struct{})} }

// acceptPause is the pause after an error of the listener, such as a lack of
// file descriptors.
const acceptPause = 5 * time.Millisecond

// Serve accepts connections until Shutdown or Close; it then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return http.ErrServerClosed
	}
	for {
		raw, err := l.Accept()
		if err == nil {
			s.open(raw)
			continue
		}
		if s.isClosed() || errors.Is(err, net.ErrClosed) {
			return http.ErrServerClosed
		}
		_ = s.cfg.Logger.Log("event", "accept_failed", "err", err)
		time.Sleep(acceptPause)
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// open starts serving a connection.
func (s *Server) open(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = raw.Close() // nothing was read from it
		return
	}
	s.conns[c] = struct{}{}
	go c.serve()
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Leave closes each connection after its next answer.
func (s *Server) Leave() { s.leaving.Store(true) }

const (
	// shutdownCheck is the time between two looks whether connections have ended.
	shutdownCheck = 10 * time.Millisecond
	// lastAnswers is how long requests that are cancelled at the end of a shutdown have for
	// their answers. The handler has them ready at once.
	lastAnswers = 200 * time.Millisecond
)

// Shutdown stops accepting connections, closes the idle ones and waits until
// the requests that were read have been answered, or ctx ends. It then cancels those that
// are left, so that the handler answers them, and returns a *CutError for those that it
// doesn't.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	s.mu.Lock()
	s.closed = true
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		_ = l.Close() // Serve reports it
	}
	if s.awaitEnd(ctx) {
		return nil
	}
	s.cancelOpen()
	rest, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastAnswers)
	defer cancel()
	s.awaitEnd(rest)
	return s.cutOpen()
}

// awaitEnd closes idle connections until there are none, and reports false when ctx ends
// before.
func (s *Server) awaitEnd(ctx context.Context) bool {
	t := time.NewTicker(shutdownCheck)
	defer t.Stop()
	for s.closeIdle() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// closeIdle closes the connections that have no request, and returns the number
// of the others.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.hangUpIfIdle()
	}
	return len(s.conns)
}

// Close ends everything at once.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.raw.Close() // all are dropped together
	}
	if s.listener == nil {
		return nil
	}
	return s.listener.Close()
}
