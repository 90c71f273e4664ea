package sidecar

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/platform"
)

// Timeouts and bounds of the node's HTTP servers.
const (
	// headerTimeout bounds the time in which a request's head arrives. The
	// users' operators allow 3 s.
	headerTimeout = 4 * time.Second
	// callerIdle is how long a caller's connection may stay idle. It is longer
	// than the operators' limit, up to which callers use connections again.
	callerIdle = time.Minute
	// maxHeaderBytes bounds a request's head, in bytes, with room for the
	// nodes' own headers.
	maxHeaderBytes = 32 << 10
)

// ListenError reports an address that can't be listened on.
type ListenError struct {
	// Name is the name of the setting.
	Name string
	// Addr is the address.
	Addr string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen." + e.Name + " " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// server is one HTTP server with its listener.
type server struct {
	http *http.Server
	ln   net.Listener
}

func (n *Node) openServer(name, addr string, h http.Handler) (*server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &ListenError{Name: name, Addr: addr, Err: err}
	}
	s := &server{ln: ln, http: &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdle,
	}}
	n.servers = append(n.servers, s)
	return s, nil
}

// serve serves until the server is shut down or closed.
func (s *server) serve() error {
	err := s.http.Serve(s.ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// openServers opens every HTTP server of the node.
func (n *Node) openServers() error {
	var err error
	if n.callers, err = n.openServer("callers", n.set.Listen.Callers, n.proxy); err != nil {
		return err
	}
	if n.gates, err = n.openServer("gate", n.set.Listen.Gate, n.gate); err != nil {
		return err
	}
	if _, err = n.openServer("ready", n.set.Listen.Ready, n.readyHandler()); err != nil {
		return err
	}
	backend := platform.BackendHandler(n.backends, func(err error) {
		_ = level.Warn(n.log).Log("event", "heartbeat_unreadable", "err", err)
	})
	if _, err = n.openServer("backend", n.set.Listen.Backend, backend); err != nil {
		return err
	}
	_, err = n.openServer("metrics", n.set.Listen.Metrics, n.metricsHandler())
	return err
}

// readyHandler answers whether the node takes callers.
func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// metricsHandler serves the node's metrics as text.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}
