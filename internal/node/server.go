package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"github.com/jacinthgate/jacinthgate/transport/listen"
)

// Timeouts of the node's HTTP servers.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// server is one HTTP server with its listener.
type server struct {
	http *http.Server
	ln   net.Listener
	// raw is what ln accepts from.
	raw *listen.Listener
}

// serverConfig says how to make a server.
type serverConfig struct {
	name           string
	addr           string
	tls            *tls.Config
	maxHeaderBytes int
	// maxConns bounds the connections; 0 is no bound.
	maxConns int
}

// openServer opens the address; the handler is set later.
func openServer(cfg serverConfig) (*server, error) {
	ln, err := net.Listen("tcp", cfg.addr)
	if err != nil {
		return nil, &listen.Error{Name: cfg.name, Addr: cfg.addr, Err: err}
	}
	s := &server{raw: listen.New(ln)}
	s.ln = s.raw
	if cfg.maxConns > 0 {
		s.ln = netutil.LimitListener(s.ln, cfg.maxConns)
	}
	if cfg.tls != nil {
		s.ln = tls.NewListener(s.ln, cfg.tls)
	}
	s.http = &http.Server{
		MaxHeaderBytes:    cfg.maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	return s, nil
}

// addr returns the address listened on.
func (s *server) addr() string { return s.ln.Addr().String() }

// serve serves until the server is shut down or closed.
func (s *server) serve() error {
	err := s.http.Serve(s.ln)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// shutdown stops accepting once no connection waits, waits for requests in flight until ctx ends, and
// closes what is left then.
func (s *server) shutdown(ctx context.Context) error {
	_ = s.raw.Drain(ctx) // Shutdown closes what is still open
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close() // the deadline has passed: nothing more to wait for
	}
	return err
}
