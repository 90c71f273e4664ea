package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"github.com/jacinthgate/jacinthgate/transport/keepalive"
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
	// keep runs http.
	keep *keepalive.Server
	ln   *listen.Listener
}

// serverConfig says how to make a server.
type serverConfig struct {
	name           string
	addr           string
	tls            *tls.Config
	maxHeaderBytes int
	// maxConns bounds the connections; 0 is no bound.
	maxConns int
	// closeNotice is sent on idle connections before they are closed; nil for clients other than nodes.
	closeNotice []byte
	logger      log.Logger
}

// openServer opens the address; the handler is set later.
func openServer(cfg serverConfig) (*server, error) {
	ln, err := net.Listen("tcp", cfg.addr)
	if err != nil {
		return nil, &listen.Error{Name: cfg.name, Addr: cfg.addr, Err: err}
	}
	s := &server{ln: listen.New(ln)}
	s.http = &http.Server{
		MaxHeaderBytes:    cfg.maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	s.keep = keepalive.New(s.http, keepalive.Config{Name: cfg.name, Wrap: cfg.wrap, CloseNotice: cfg.closeNotice, Logger: cfg.logger})
	return s, nil
}

// wrap bounds the connections of a listener and secures them.
func (cfg *serverConfig) wrap(ln net.Listener) net.Listener {
	if cfg.maxConns > 0 {
		ln = netutil.LimitListener(ln, cfg.maxConns)
	}
	if cfg.tls != nil {
		ln = tls.NewListener(ln, cfg.tls)
	}
	return ln
}

// addr returns the address listened on.
func (s *server) addr() string { return s.ln.Addr().String() }

// serve serves until the server is shut down or closed.
func (s *server) serve() error {
	err := s.keep.Serve(s.ln)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// shutdown stops accepting once no connection waits, waits for requests in flight until ctx ends, and
// closes what is left then.
func (s *server) shutdown(ctx context.Context) error {
	_ = s.ln.Drain(ctx) // Shutdown closes what is still open
	err := s.keep.Shutdown(ctx)
	if err != nil {
		_ = s.keep.Close() // the deadline has passed: nothing more to wait for
	}
	return err
}
