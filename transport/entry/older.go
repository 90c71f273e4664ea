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
	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// olderServer forwards requests to the older system. It hijacks the caller's
// connection for one request, copies the bytes both ways, and hands the connection
// back to net/http for the next request, which the mesh may handle.
type olderServer struct {
	p         *Proxy
	transport http.RoundTripper
	dialer    net.Dialer

	mu      sync.Mutex
	closing bool
	idle    map[*callerConn]struct{} // hijacked, waiting for the next request
	running sync.WaitGroup           // hijacked connections
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

// serve forwards a request to the older system: byte for byte if its head was
// recorded, otherwise rebuilt.
func (o *olderServer) serve(w http.ResponseWriter, r *http.Request) {
	o.p.metrics.older.Inc()
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok || !hasRequestLine(c.head, r) {
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

// hasRequestLine reports whether the recorded head belongs to the request. It does not
// if the caller pipelined the request before it had the previous response.
func hasRequestLine(head []byte, r *http.Request) bool {
	line := r.Method + " " + r.RequestURI + " " + r.Proto
	return bytes.HasPrefix(head, []byte(line))
}

// connect ensures that c.older is an open connection to the older system.
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
	c.older = &olderConn{Conn: conn, reader: bufio.NewReader(&sockopt.CheckedConn{Conn: conn})}
	return nil
}

// alive reports whether an idle connection is reusable: the older system has neither
// closed it nor sent unexpected bytes.
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

// unreachable logs and writes the refusal of a request for which the older system
// could not be reached.
func (o *olderServer) unreachable(w http.ResponseWriter, err error) {
	_ = level.Warn(o.p.cfg.Logger).Log("event", "older_unreachable", "addr", o.p.cfg.OlderAddr, "err", err)
	o.p.notRun(outcome.ReasonOlderUnreachable, "the older system did not accept the connection").Write(w)
}

// takeOver forwards one request and its response over the raw connections. buffered
// holds the bytes that net/http had read beyond the request's head. Afterwards the
// connection goes back to the HTTP server if it can carry another request.
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
	c.recording, c.prefetched = false, c.prefetched[:0]
	_ = c.SetDeadline(time.Time{}) // the older system applies its own timeouts
	defer o.running.Done()
	if !x.run() || !o.waitIdle(c, x) {
		_ = c.Close()
		return
	}
	c.pending = x.leftover()
	o.p.server.Resume(c, len(c.pending) > 0)
}

// waitIdle waits for the first byte of the caller's next request. It reports false if the
// connection must be closed: it ended, or stayed idle for IdleTimeout. During a shutdown it
// reports true at once, since the server ends idle connections.
func (o *olderServer) waitIdle(c *callerConn, x *rawExchange) bool {
	o.mu.Lock()
	until := time.Now().Add(o.p.cfg.IdleTimeout)
	if o.closing {
		until = past
	}
	_ = c.SetReadDeadline(until) // if it fails, so does the read
	o.idle[c] = struct{}{}
	o.mu.Unlock()
	err := <-x.next
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.idle, c)
	if err != nil && !(x.bodySent && isTimeout(err) && (o.closing || sockopt.HasUnread(c))) {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}

// past is a deadline that ends a blocked read at once.
var past = time.Unix(1, 0)

// shutdown hands idle connections back to the server, and waits until the requests in flight
// have ended and their connections were handed back as well, or ctx ends.
func (o *olderServer) shutdown(ctx context.Context) error {
	o.mu.Lock()
	o.closing = true
	for c := range o.idle {
		_ = c.SetReadDeadline(past) // ends the wait
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

// rebuild forwards a request whose raw head was not recorded, built anew from the
// parsed request. The order and spelling of its header fields are lost; their content
// and the body are preserved.
func (o *olderServer) rebuild(w http.ResponseWriter, r *http.Request) {
	var body io.ReadCloser
	var stream *forward.StreamBody
	if r.ContentLength != 0 {
		stream = forward.NewStreamBody(w, r)
		body = stream
	}
	out := forward.NewRequest(r.Context(), r, "http", o.p.cfg.OlderAddr, body, r.ContentLength)
	resp, err := forward.Send(o.transport, out, forward.InterimWriter(w, r))
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
	stream.Finish()
}
