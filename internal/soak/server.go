package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// Parameters of the stand-ins of backend servers.
const (
	// serverSlots is the number of requests that one runs at a time: each caller
	// has one under way, and there are fewer of them than slots.
	serverSlots = 8
	// heartbeatEvery is the time between two heartbeats.
	heartbeatEvery = 400 * time.Millisecond
)

// serverWork is how long a request of a service takes. Long ones are under way
// when a node stops, whenever that is; short ones make many.
var serverWork = map[string]time.Duration{services[0]: 30 * time.Millisecond, services[1]: 300 * time.Millisecond}

// slowSuffix ends the paths of requests that take slowWork.
const slowSuffix = "-slow"

// slowWork is how long a request takes that is under way when its node ends.
const slowWork = 3 * time.Second

func isSlow(path string) bool { return strings.HasSuffix(path, slowSuffix) }

// server is a backend server beside a node.
type server struct {
	*platformtest.Backend
	addr       string
	http       *http.Server
	behaviours behaviours
	runs       runs
	// coldUntil is when the last of coldSpans ends. Both are guarded by the host's mu.
	coldUntil time.Time
	coldSpans []Span
	// states says that it has stated something about itself; guarded by the host's mu.
	states bool

	connsMu sync.Mutex
	conns   map[net.Conn]*tracked
}

// downTime is how long a backend server is away after a request has ended it.
const downTime = 700 * time.Millisecond

// startServer starts a backend server on an address that the kernel completes. ended is
// told when a request has ended it.
func startServer(ip, id, service string, behaviours behaviours, ended func(*server)) (*server, error) {
	var listen net.ListenConfig
	if behaviours.varied {
		listen.Control = transporttest.ReceiveBuffer(smallBuffer)
	}
	ln, err := listen.Listen(context.Background(), "tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{behaviours: behaviours, conns: make(map[net.Conn]*tracked), Backend: &platformtest.Backend{
		ID: id, Service: service, Slots: serverSlots, Work: serverWork[service], Born: time.Now().UnixMilli(),
	}}
	s.Crash = func(r *http.Request) bool {
		if isDeadly(r.URL.Path) {
			ended(s)
			return true
		}
		return false
	}
	s.Answer = s.answer
	s.addr = ln.Addr().String()
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.track, ConnContext: withConn}
	go func() { _ = s.http.Serve(ln) }() // it ends with Close
	return s, nil
}

// forgetAfter is how long a connection is idle before a backend server forgets it.
const forgetAfter = 100 * time.Millisecond

// tracked is what a backend server knows of a connection.
type tracked struct {
	idleSince time.Time // zero while it is in use
	forgotten bool
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// track notes what becomes of a connection. One on which something comes after it was idle is
// forgotten while a fault lets it.
func (s *server) track(conn net.Conn, state http.ConnState) {
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	t := s.conns[conn]
	switch state {
	case http.StateNew:
		s.conns[conn] = new(tracked)
	case http.StateIdle:
		t.idleSince = time.Now()
	case http.StateActive:
		idle := !t.idleSince.IsZero() && time.Since(t.idleSince) >= forgetAfter
		t.idleSince = time.Time{}
		if t.forgotten = idle && s.behaviours.forgetting.Load() > 0; t.forgotten {
			reset(conn)
		}
	default:
		delete(s.conns, conn)
	}
}

// serve serves a request unless its connection was forgotten: it was not read then.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	s.connsMu.Lock()
	t := s.conns[conn]
	forgotten := t != nil && t.forgotten
	s.connsMu.Unlock()
	if forgotten {
		panic(http.ErrAbortHandler)
	}
	if isLate(r.URL.Path) && !pause(r.Context(), lateTime) {
		panic(http.ErrAbortHandler)
	}
	s.ServeHTTP(w, r)
}

// die ends a backend server and resets its connections: nobody may take a part of an answer
// that ends with its connection for the whole.
func (s *server) die() {
	s.connsMu.Lock()
	for conn := range s.conns {
		reset(conn)
	}
	s.connsMu.Unlock()
	_ = s.http.Close() // all its requests break off
}

// reset closes a connection by a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it may be closed already
	}
	_ = conn.Close() // likewise
}

// host is what stands beside a node: the backend server of the moment.
type host struct {
	ip         string
	service    string
	control    string // the node's address for backend servers
	coldStarts bool   // backend servers are cold after a start, except the first
	behaviours behaviours

	mu       sync.Mutex
	current  *server
	draining bool
	acked    chan struct{} // closed when the node has acknowledged the drain
	all      []*server
	closed   bool // nothing is started any more
}

// replace starts a new backend server in place of the present one.
func (h *host) replace(number int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startAs(fmt.Sprintf("i-%s-%d-%d", h.ip, len(h.all), number))
}

// again starts the last backend server again under its identifier.
func (h *host) again() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startAs(h.all[len(h.all)-1].ID)
}

// startAs starts a backend server under an identifier. h.mu is held.
func (h *host) startAs(id string) error {
	if h.closed {
		return nil
	}
	s, err := startServer(h.ip, id, h.service, h.behaviours, h.ended)
	if err != nil {
		return err
	}
	if h.coldStarts && len(h.all) > 0 {
		s.markCold()
	}
	h.current, h.draining, h.acked = s, false, nil
	h.all = append(h.all, s)
	return nil
}

// beat sends one heartbeat. A node that is away misses it.
func (h *host) beat() {
	h.mu.Lock()
	s, draining, acked := h.current, h.draining, h.acked
	if s != nil {
		s.Cold = max(0, time.Until(s.coldUntil))
	}
	h.mu.Unlock()
	if s == nil {
		return
	}
	err := s.Beat(h.control, s.addr, draining)
	if err != nil || !draining {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.acked == acked && acked != nil {
		close(acked)
		h.acked = nil
	}
}

// ended notes that a request has ended a backend server, and starts it again in a
// while: every other time under its identifier.
func (h *host) ended(s *server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	go func() { _ = s.http.Close() }() // this request's own connection as well
	if h.current != s {
		return
	}
	h.current = nil
	start := h.again
	if len(h.all)%2 == 0 {
		start = func() error { return h.replace(0) }
	}
	time.AfterFunc(downTime, func() { _ = start() }) // the recovery is checked
}

// close ends the present backend server for good.
func (h *host) close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.crash()
}

// crash ends the present backend server without a word.
func (h *host) crash() {
	h.mu.Lock()
	s := h.current
	h.current = nil
	h.mu.Unlock()
	if s != nil {
		s.die()
	}
}

// drain lets the present backend server say that it leaves. It returns the
// server, and a channel that is closed when that was acknowledged; nil without a
// server or during another drain.
func (h *host) drain() (*server, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil || h.draining {
		return nil, nil
	}
	acked := make(chan struct{})
	h.draining, h.acked = true, acked
	return h.current, acked
}

// depart returns the present backend server, which sends no more heartbeats and serves on; nil
// without one or during a drain.
func (h *host) depart() *server {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.current
	if h.draining {
		return nil
	}
	h.current = nil
	return s
}

// is reports whether s is the present backend server.
func (h *host) is(s *server) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current == s
}
