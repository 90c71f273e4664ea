package entry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// olderServer passes requests to the older system. It takes the caller's
// connection over from net/http for one request, copies the bytes both ways,
// and gives the connection back for the next request, which may go elsewhere.
type olderServer struct {
	p         *Proxy
	transport http.RoundTripper
	dialer    net.Dialer

	mu      sync.Mutex
	closing bool
	idle    map[*callerConn]struct{}
	running sync.WaitGroup
}

// olderConn is a connection to the older system.
type olderConn struct {
	net.Conn
	reader *bufio.Reader
}

func newOlderServer(p *Proxy) *olderServer {
	cfg := forward.DefaultClientConfig()
	cfg.DialTimeout = p.cfg.OlderDialTimeout
	return &olderServer{
		p:         p,
		transport: forward.NewClient(cfg),
		dialer:    net.Dialer{Timeout: p.cfg.OlderDialTimeout},
		idle:      make(map[*callerConn]struct{}),
	}
}

// serve passes a request to the older system.
func (o *olderServer) serve(w http.ResponseWriter, r *http.Request) {
	o.p.metrics.older.Inc()
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok || !startsWithLine(c.head, r) {
		o.rebuild(w, r)
		return
	}
	if err := o.connect(r.Context(), c); err != nil {
		o.unreachable(w, err)
		return
	}
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil || conn != net.Conn(c) {
		o.rebuild(w, r)
		return
	}
	o.running.Add(1)
	o.takeOver(c, r, buf.Reader)
}

// startsWithLine reports whether the recorded head is the request's own. It is
// not when the caller sent the request before the answer to the last one.
func startsWithLine(head []byte, r *http.Request) bool {
	line := r.Method + " " + r.RequestURI + " " + r.Proto
	return bytes.HasPrefix(head, []byte(line))
}

// connect gives c a live connection to the older system.
func (o *olderServer) connect(ctx context.Context, c *callerConn) error {
	if c.older != nil && alive(c.older) {
		return nil
	}
	if c.older != nil {
		_ = c.older.Close() // the older system closed it already
	}
	conn, err := o.dialer.DialContext(ctx, "tcp", o.p.cfg.OlderAddr)
	if err != nil {
		c.older = nil
		return err
	}
	c.older = &olderConn{Conn: conn, reader: bufio.NewReader(conn)}
	return nil
}

// alive reports whether an idle connection is still open: there is neither an
// end nor a byte that nobody asked for.
func alive(c *olderConn) bool {
	t, ok := c.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true // never wait
	})
	return err == nil && open
}

func (o *olderServer) unreachable(w http.ResponseWriter, err error) {
	_ = level.Warn(o.p.cfg.Logger).Log("event", "older_unreachable", "addr", o.p.cfg.OlderAddr, "err", err)
	o.p.notRun(outcome.ReasonOlderUnreachable, "the older system did not accept the connection").Write(w)
}

// takeOver carries one request and its answer over the raw connections.
func (o *olderServer) takeOver(c *callerConn, r *http.Request, buffered *bufio.Reader) {
	x := &rawExchange{caller: c, request: r}
	rest, _ := buffered.Peek(buffered.Buffered()) // never more than is buffered
	headEnd := c.count - len(rest)
	if headEnd <= 0 || headEnd > len(c.head) {
		o.running.Done()
		_ = c.Close()
		return
	}
	x.head = c.head[:headEnd]
	c.pending = append(bytes.Clone(rest), c.pending...)
	c.recording, c.early = false, c.early[:0]
	_ = c.SetDeadline(time.Time{}) // the older system's own limits hold
	reusable := x.run()
	o.running.Done()
	if !reusable || !o.waitIdle(c, x) {
		_ = c.Close()
		return
	}
	c.pending = x.leftover()
	// Serve closes the connection itself when the server is shutting down.
	_ = o.p.server.Serve(newOneListener(c))
}

// waitIdle waits for the next request's first byte.
func (o *olderServer) waitIdle(c *callerConn, x *rawExchange) bool {
	o.mu.Lock()
	if o.closing {
		o.mu.Unlock()
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(o.p.cfg.IdleTimeout)) // a failure shows in the read
	o.idle[c] = struct{}{}
	o.mu.Unlock()
	err := <-x.next
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.idle, c)
	return err == nil && !o.closing && c.SetReadDeadline(time.Time{}) == nil
}

// shutdown closes idle connections and waits for the running requests.
func (o *olderServer) shutdown(ctx context.Context) error {
	o.mu.Lock()
	o.closing = true
	for c := range o.idle {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // ends the wait
	}
	o.mu.Unlock()
	done := make(chan struct{})
	go func() {
		o.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// rebuild passes on a request whose raw head is not at hand. The header's
// order and spelling are lost; its content and the body are kept.
func (o *olderServer) rebuild(w http.ResponseWriter, r *http.Request) {
	var body io.ReadCloser
	var stream *forward.StreamBody
	if r.ContentLength != 0 {
		stream = forward.NewStreamBody(w, r)
		body = stream
	}
	out := forward.NewRequest(r.Context(), r, "http", o.p.cfg.OlderAddr, body, r.ContentLength)
	resp, err := forward.Send(o.transport, out, w)
	var failed *forward.SendError
	if errors.As(err, &failed) && failed.Sent {
		forward.Unknown(outcome.ReasonBackendFailed, "the older system broke the connection").Write(w)
		return
	}
	if err != nil {
		o.unreachable(w, err)
		return
	}
	if err := forward.Relay(w, resp); err != nil {
		stream.Detach(w)
		panic(http.ErrAbortHandler)
	}
}
