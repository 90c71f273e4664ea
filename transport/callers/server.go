// Package callers is an HTTP/1.1 server for the callers on a host. It differs
// from net/http's server, which handles the requests of one connection one by
// one, in four ways:
//   - Pipelined requests are handled concurrently. Their responses are sent in
//     the order of the requests; a response waits for its turn until those before
//     it are complete.
//   - Its limits come from the configuration in force and may change while
//     connections are open.
//   - It detects that a caller has closed its connection even while further
//     pipelined requests are queued behind the current one.
//   - A handler that fails before any part of its response was sent doesn't close
//     the connection: the response is replaced by 502, or by 500 after a panic.
//
// Requests and their bodies are parsed by net/http.
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

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	// HeaderBytes bounds the request line and headers of a request, in bytes.
	HeaderBytes int
	// HeaderTimeout bounds the time from a request's first byte to the end of
	// its headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
}

// Config configures a Server.
type Config struct {
	// Handler handles requests. It is called concurrently, also for requests of
	// one connection.
	Handler http.Handler
	// Limits returns the limits in force. It must not block.
	Limits func() Limits
	// PipelineDepth is the number of pipelined requests of one connection that are
	// handled concurrently.
	PipelineDepth int
	// MaxConnections bounds the open connections, so that callers leave file descriptors for the
	// process's other connections; 0 is no bound. At the bound idle connections are closed, the
	// longest idle first, and new ones wait in the listener's backlog until there is room.
	MaxConnections int
	// RequestID returns the identifier that the caller assigned to its request.
	RequestID func(headers map[string][]string) string
	// Metrics is the set in which the server registers its metrics.
	Metrics *metrics.Set
	// Logger logs each request that can't be read, each response that is
	// truncated or replaced, and each handler that panics.
	Logger log.Logger
}

// Server serves HTTP/1.1 on callers' connections.
type Server struct {
	cfg          Config
	keepAliveOff atomic.Bool // each connection closes after its next response

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	closed   bool

	// failureLoggedAt is when a failure to accept was last logged. Only Serve uses it.
	failureLoggedAt time.Time
}

// New returns a server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, conns: make(map[*conn]struct{})}
	cfg.Metrics.GetOrCreateGauge("jacinthgate_caller_connections", func() float64 { return float64(s.connections()) })
	return s
}

// connections returns the number of open connections.
func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// acceptRetryDelay is the delay before accepting again after a listener error,
// such as a lack of file descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// failureLogInterval is the minimum interval between two log lines on failures to accept.
const failureLogInterval = time.Second

// Serve accepts connections until Shutdown or Close is called, then returns
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
		s.awaitRoom()
		raw, err := l.Accept()
		if err == nil {
			s.open(raw)
			continue
		}
		if s.isClosed() || errors.Is(err, net.ErrClosed) {
			return http.ErrServerClosed
		}
		s.cfg.Metrics.GetOrCreateCounter("jacinthgate_callers_accept_failures_total").Inc()
		if now := time.Now(); now.Sub(s.failureLoggedAt) >= failureLogInterval {
			s.failureLoggedAt = now
			_ = s.cfg.Logger.Log("event", "accept_failed", "err", err)
		}
		time.Sleep(acceptRetryDelay)
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// open starts serving a connection, or closes it if the server is closed.
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

// DisableKeepAlive makes the server close each connection after its next response. A node
// calls it when it begins to shut down.
func (s *Server) DisableKeepAlive() { s.keepAliveOff.Store(true) }

const (
	// shutdownPollInterval is the interval at which a shutdown checks whether
	// connections are left.
	shutdownPollInterval = 10 * time.Millisecond
	// cancelGrace is the time for the responses to requests that a shutdown cancels
	// when its context ends. It is short: the handler responds to a cancelled
	// request at once.
	cancelGrace = 200 * time.Millisecond
)

// Shutdown stops accepting connections, closes idle ones and waits until all
// requests that were read have been answered. When ctx ends earlier, it cancels the
// remaining requests, so that the handler responds to them, and returns a *CutError
// if some still have no response after cancelGrace.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DisableKeepAlive()
	s.mu.Lock()
	s.closed = true
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		_ = l.Close() // Serve sees the closed listener
	}
	if s.awaitClosed(ctx) {
		return nil
	}
	s.cancelPending()
	rest, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelGrace)
	defer cancel()
	s.awaitClosed(rest)
	return s.reportPending()
}

// awaitClosed closes connections as they become idle until none is left. It returns
// false if ctx ends before that.
func (s *Server) awaitClosed(ctx context.Context) bool {
	t := time.NewTicker(shutdownPollInterval)
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

// closeIdle starts to close all connections without a request, and returns the
// number of connections that are still open, including those.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
	return len(s.conns)
}

// Close closes the listener and all connections at once, without waiting for
// responses.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.raw.Close() // dropped without regard to errors
	}
	if s.listener == nil {
		return nil
	}
	return s.listener.Close()
}
