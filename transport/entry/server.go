package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// newServer returns the HTTP server that handles callers' connections.
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

// Serve accepts callers' connections until Shutdown, or until the listener is
// closed; it then returns nil.
func (p *Proxy) Serve(l net.Listener) error {
	err := p.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Leave makes the proxy close each caller's connection after its next response. It
// is called some time before Shutdown, which closes idle connections: a request that
// crosses the close gets no response, though it was not run.
func (p *Proxy) Leave() {
	p.leaving.Store(true)
	p.server.Leave()
}

// closeIfLeaving sets "Connection: close" on the response once Leave has been called.
func (p *Proxy) closeIfLeaving(w http.ResponseWriter) {
	if p.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Shutdown stops accepting connections and waits until the requests that have arrived
// are answered, or until ctx ends. Connections that carry requests to the older system
// go back to the server first, which ends them like the others.
func (p *Proxy) Shutdown(ctx context.Context) error {
	if err := p.older.shutdown(ctx); err != nil {
		return err
	}
	return p.server.Shutdown(ctx)
}
