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

// Serve accepts callers' connections until Shutdown, or until the listener is
// closed; it then returns nil.
func (p *Proxy) Serve(l net.Listener) error {
	err := p.server.Serve(recordingListener{l})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Leave closes each caller's connection after its next answer. It is called some
// time before Shutdown, which closes idle connections: a request that a caller
// sends at that very moment gets no answer, though it was not run.
func (p *Proxy) Leave() { p.leaving.Store(true) }

// lastOnConnection tells the caller that its connection ends with this answer,
// while the proxy is leaving.
func (p *Proxy) lastOnConnection(w http.ResponseWriter) {
	if p.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Shutdown stops accepting connections and waits until the requests in flight
// have been answered, or ctx ends.
func (p *Proxy) Shutdown(ctx context.Context) error {
	if err := p.server.Shutdown(ctx); err != nil {
		return err
	}
	return p.older.shutdown(ctx)
}
