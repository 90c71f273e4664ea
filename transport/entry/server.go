package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// newServer returns the server of callers' connections.
func newServer(p *Proxy) *http.Server {
	return &http.Server{
		Handler:           p,
		ReadHeaderTimeout: p.cfg.HeaderTimeout,
		IdleTimeout:       p.cfg.IdleTimeout,
		MaxHeaderBytes:    p.cfg.MaxHeaderBytes,
		ConnState:         connState,
		ConnContext:       connContext,
	}
}

// Serve accepts callers' connections until Shutdown; it then returns nil.
func (p *Proxy) Serve(l net.Listener) error {
	err := p.server.Serve(recordingListener{l})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and waits until the requests in flight
// have been answered, or ctx ends.
func (p *Proxy) Shutdown(ctx context.Context) error {
	if err := p.server.Shutdown(ctx); err != nil {
		return err
	}
	return p.older.shutdown(ctx)
}
