package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/callers"
	"github.com/jacinthgate/jacinthgate/transport/forward"
	"github.com/jacinthgate/jacinthgate/transport/headpack"
	"github.com/jacinthgate/jacinthgate/transport/keepalive"
	"github.com/jacinthgate/jacinthgate/transport/listen"
)

// Timeouts and bounds of the node's HTTP servers.
const (
	// headerTimeout bounds the time in which a request's head arrives. The
	// users' operators allow 3 s.
	headerTimeout = 4 * time.Second
	// bodyGrace is how long past its deadline the body of another node's request may arrive. It exceeds
	// the time for which a response that has begun is still sent.
	bodyGrace = time.Second
	// callerIdle is how long a caller's connection may stay idle before a
	// configuration says so.
	callerIdle = time.Minute
	// serverIdle is how long connections of other nodes, of the platform and of
	// the backend server may stay idle: longer than nodes keep theirs.
	serverIdle = time.Minute
	// requestsAhead is the number of requests of one caller's connection that
	// are worked on at the same time. Pages of a screen or a catalogue are a few
	// requests.
	requestsAhead = 8
	// maxHeaderBytes bounds a request's head, in bytes, with room for the
	// nodes' own headers.
	maxHeaderBytes = 32 << 10
)

// httpServer is what serves a listener: a server of package keepalive, or that of package
// callers.
type httpServer interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
	Close() error
}

// server is one HTTP server with its listener.
type server struct {
	name string // of the setting of its address
	http httpServer
	ln   *listen.Listener
}

// addPlain adds a server of net/http for short requests.
func (n *Node) addPlain(name string, h http.Handler) *server {
	return n.add(name, n.newPlain(h, headerTimeout, keepalive.Config{Name: name, Logger: n.log}))
}

// newPlain returns a server of net/http. readTimeout bounds the time in which a request arrives with
// its body; 0 sets no limit.
func (n *Node) newPlain(h http.Handler, readTimeout time.Duration, cfg keepalive.Config) *keepalive.Server {
	return keepalive.New(&http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       serverIdle,
	}, cfg)
}

// boundBodies bounds the time in which the body of another node's request arrives: that of the request
// itself and bodyGrace, or headerTimeout if it states none.
func boundBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			d := headerTimeout
			if left, given, err := forward.HeaderInt(r.Header, outcome.HeaderDeadline); given && err == nil {
				d = time.Duration(left)*time.Millisecond + bodyGrace
			}
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(d)) // fails on a closed connection
		}
		h.ServeHTTP(w, r)
	})
}

// add adds a server on the address that was opened for it.
func (n *Node) add(name string, h httpServer) *server {
	s := &server{name: name, ln: n.listeners[name], http: h}
	n.servers = append(n.servers, s)
	return s
}

// The names of the HTTP servers' addresses in the settings.
const (
	listenCallers = "callers"
	listenGate    = "gate"
	listenReady   = "ready"
	listenBackend = "backend"
	listenMetrics = "metrics"
)

// openListeners opens the addresses of the HTTP servers. A port that the kernel
// has chosen replaces 0 in the settings.
func (n *Node) openListeners() error {
	n.listeners = make(map[string]*listen.Listener)
	set := &n.set.Listen
	addrs := map[string]*string{
		listenCallers: &set.Callers, listenGate: &set.Gate, listenReady: &set.Ready,
		listenBackend: &set.Backend, listenMetrics: &set.Metrics,
	}
	for name, addr := range addrs {
		ln, err := net.Listen("tcp", *addr)
		if err != nil {
			return &listen.Error{Name: name, Addr: *addr, Err: err}
		}
		*addr = ln.Addr().String()
		n.listeners[name] = listen.New(ln)
	}
	return nil
}

// callerLimits returns what callers may send by the configuration in force, or
// what is allowed before there is one.
func (n *Node) callerLimits() callers.Limits {
	l := callers.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: callerIdle}
	t := n.pub.table.Load()
	if t == nil {
		return l
	}
	if of := t.Limits(); of.HeaderBytes > 0 && of.HeaderTimeout > 0 && of.IdleTimeout > 0 {
		l = callers.Limits{HeaderBytes: of.HeaderBytes, HeaderTimeout: of.HeaderTimeout, IdleTimeout: of.IdleTimeout}
	}
	return l
}

// serve serves until the server is shut down or closed.
func (s *server) serve() error {
	err := s.http.Serve(s.ln)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// shutdown stops accepting once no connection waits, and lets the requests in
// flight finish until ctx ends.
func (s *server) shutdown(ctx context.Context, logger log.Logger) error {
	_ = s.ln.Drain(ctx) // Shutdown closes what is still open
	if e := s.ln.CloseState(); e != nil {
		_ = logger.Log("event", "listener_closed", "name", s.name, "since_look", e.SinceEmpty, "waiting", e.Backlog)
	}
	return s.http.Shutdown(ctx)
}

// wireServers makes the HTTP servers.
func (n *Node) wireServers() error {
	n.front = callers.New(callers.Config{
		Handler: n.proxy, Limits: n.callerLimits, PipelineDepth: requestsAhead,
		MaxConnections: n.set.maxCallers(), RequestID: platform.Dialect{}.RequestID, Metrics: n.metrics, Logger: n.log,
	})
	n.callers = n.add(listenCallers, n.front)
	n.gateServer = n.newPlain(boundBodies(n.gateHandler()), 0, keepalive.Config{
		Name:        listenGate,
		Wrap:        func(ln net.Listener) net.Listener { return headpack.Listener{Listener: ln} },
		CloseNotice: forward.ConnectionClosing(),
		Logger:      n.log,
	})
	n.gates = n.add(listenGate, n.gateServer)
	n.addPlain(listenReady, n.readyHandler())
	n.addPlain(listenBackend, platform.BackendHandler(n.backends, func(err error) {
		_ = level.Warn(n.log).Log("event", "heartbeat_unreadable", "err", err)
	}))
	n.addPlain(listenMetrics, n.metricsHandler())
	return nil
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
