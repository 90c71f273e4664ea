package keepalive

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
	"github.com/jacinthgate/jacinthgate/transport/headpack"
	"github.com/jacinthgate/jacinthgate/transport/listen"
	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// start serves a handler that answers with the path, and returns the server.
func start(t *testing.T, l net.Listener, h *http.Server, cfg Config) *Server {
	t.Helper()
	if h.Handler == nil {
		h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	}
	cfg.Logger = log.NewNopLogger()
	s := New(h, cfg)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return l
}

// client is one end of a connection to a server.
type client struct {
	net.Conn
	br *bufio.Reader
}

func dial(t *testing.T, l net.Listener) *client {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &client{c, bufio.NewReader(c)}
}

func (c *client) write(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	must.NoError(t, err)
}

// read reads a response and returns its status and body.
func (c *client) read(t *testing.T) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp, string(body)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// Guards against requests that have arrived and are lost in a shutdown.
func TestRequestThatHasArrivedIsAnsweredDuringAShutdown(t *testing.T) {
	transporttest.CheckShutdownAnswers(t, func(t *testing.T, l *transporttest.HeldListener) func() {
		drained := listen.New(l)
		s := start(t, drained, new(http.Server), Config{})
		return func() {
			must.NoError(t, drained.Drain(t.Context()))
			must.NoError(t, s.Shutdown(t.Context()))
		}
	})
}

// Guards against an idle timeout that takes a request that nobody has read yet for silence.
func TestRequestThatHasArrivedIsAnsweredAfterTheIdleTimeout(t *testing.T) {
	l := transporttest.NewHeldListener(t, 1)
	start(t, l, &http.Server{IdleTimeout: time.Millisecond}, Config{})
	c := dial(t, l)
	c.write(t, get("/a"))
	c.read(t)
	c.write(t, get("/b"))
	time.Sleep(20 * time.Millisecond)
	l.Release()
	_, body := c.read(t)
	must.Eq(t, "/b", body)
}

// Guards against connections that stay open past their idle timeout.
func TestIdleConnectionEndsAtTheIdleTimeout(t *testing.T) {
	l := listenLocal(t)
	start(t, l, &http.Server{IdleTimeout: time.Millisecond}, Config{})
	c := dial(t, l)
	c.write(t, get("/a"))
	c.read(t)
	_, err := c.br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}

// Guards against a request that is lost because only a part of its head had arrived when the shutdown
// began: behind the previous request, in the buffer of net/http, or on its own.
func TestRequestWhoseHeadIsArrivingIsAnsweredDuringAShutdown(t *testing.T) {
	head := get("/b")
	for name, first := range map[string]string{"with the previous request": get("/a") + head[:9], "on its own": get("/a")} {
		t.Run(name, func(t *testing.T) {
			l := listenLocal(t)
			s := start(t, l, new(http.Server), Config{})
			c := dial(t, l)
			c.write(t, first)
			c.read(t)
			rest := head[9:]
			if first == get("/a") {
				rest = head[1:]
				c.write(t, head[:1])
			}
			time.Sleep(20 * time.Millisecond) // the server reads it
			ended := make(chan error, 1)
			go func() { ended <- s.Shutdown(t.Context()) }()
			time.Sleep(5 * shutdownPollInterval)
			c.write(t, rest)
			_, body := c.read(t)
			must.Eq(t, "/b", body)
			must.NoError(t, <-ended)
		})
	}
}

// Guards against a body that can't be read because the shutdown began while its request arrived.
func TestBodyIsReadDuringAShutdown(t *testing.T) {
	l := listenLocal(t)
	reading := make(chan struct{})
	s := start(t, l, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(reading)
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})}, Config{})
	c := dial(t, l)
	c.write(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n")
	<-reading
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	time.Sleep(5 * shutdownPollInterval)
	c.write(t, "body")
	_, body := c.read(t)
	must.Eq(t, "body", body)
	must.NoError(t, <-ended)
}

// Guards against a response that leaves its caller in the belief that the connection goes on.
func TestResponsesCloseTheirConnectionAfterLeave(t *testing.T) {
	l := listenLocal(t)
	s := start(t, l, new(http.Server), Config{})
	c := dial(t, l)
	c.write(t, get("/a"))
	resp, _ := c.read(t)
	must.False(t, resp.Close)
	s.Leave()
	c.write(t, get("/b"))
	resp, _ = c.read(t)
	must.True(t, resp.Close)
}

// Guards against a connection that a handler has hijacked and handed back, and that misses the request
// behind.
func TestResumedConnectionIsServed(t *testing.T) {
	for name, begun := range map[string]bool{"idle": false, "with a part of a request": true} {
		t.Run(name, func(t *testing.T) {
			l := listenLocal(t)
			var s *Server
			var calls atomic.Int32
			h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) > 1 {
					_, _ = io.WriteString(w, r.URL.Path)
					return
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					s.Resume(c, begun)
				}
			})}
			s = start(t, l, h, Config{})
			c := dial(t, l)
			c.write(t, get("/a"))
			c.read(t)
			c.write(t, get("/b"))
			_, body := c.read(t)
			must.Eq(t, "/b", body)
			must.NoError(t, s.Shutdown(t.Context()))
		})
	}
}

// Guards against packed connections whose requests are lost in a shutdown, and that are never ended.
func TestPackedConnectionEndsInAShutdown(t *testing.T) {
	l := listenLocal(t)
	s := start(t, l, new(http.Server), Config{Wrap: func(l net.Listener) net.Listener { return headpack.Listener{Listener: l} }})
	raw := dial(t, l)
	packed := headpack.Client(raw.Conn)
	c := &client{packed, bufio.NewReader(packed)}
	c.write(t, get("/a"))
	_, body := c.read(t)
	must.Eq(t, "/a", body)
	must.NoError(t, s.Shutdown(t.Context()))
	_, err := c.br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}

// Guards against idle and unused connections that hold up a shutdown.
func TestShutdownEndsIdleAndNewConnections(t *testing.T) {
	l := listenLocal(t)
	s := start(t, l, new(http.Server), Config{})
	dial(t, l)
	c := dial(t, l)
	c.write(t, get("/a"))
	c.read(t)
	must.NoError(t, s.Shutdown(t.Context()))
	must.MapEmpty(t, s.conns)
}

// crossClose sends a request on an idle connection that the server has just closed, and returns the
// response; nil if there is none.
func crossClose(t *testing.T, s *Server, c *client) *http.Response {
	t.Helper()
	c.write(t, get("/a"))
	c.read(t)
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	_, err := c.br.Peek(1) // the server has closed the connection, or has sent its close notice
	if err == nil {
		must.NoError(t, peekEnd(c))
	}
	_, _ = io.WriteString(c, get("/b")) // fails where the server's side is gone
	resp, err := http.ReadResponse(c.br, nil)
	must.NoError(t, <-ended)
	if err != nil {
		return nil
	}
	return resp
}

// peekEnd waits until the server has closed the connection behind what it has sent.
func peekEnd(c *client) error {
	for n := 1; ; n++ {
		switch _, err := c.br.Peek(n); err {
		case nil:
		case io.EOF:
			return nil
		default:
			return err
		}
	}
}

// Guards against a request between nodes that crosses the close of an idle connection and counts as one
// that may have run.
func TestRequestThatCrossesTheCloseIsToldNotRun(t *testing.T) {
	packing := func(l net.Listener) net.Listener { return headpack.Listener{Listener: l} }
	for name, wrap := range map[string]func(net.Listener) net.Listener{"plain": nil, "packed heads": packing} {
		t.Run(name, func(t *testing.T) {
			l := listenLocal(t)
			s := start(t, l, new(http.Server), Config{Wrap: wrap, CloseNotice: forward.ConnectionClosing()})
			c := dial(t, l)
			if wrap != nil {
				packed := headpack.Client(c.Conn)
				c = &client{packed, bufio.NewReader(packed)}
			}
			resp := crossClose(t, s, c)
			must.NotNil(t, resp)
			must.Eq(t, http.StatusRequestTimeout, resp.StatusCode)
			must.Eq(t, string(outcome.NotRun), resp.Header.Get(outcome.HeaderOutcome))
			must.True(t, resp.Close)
		})
	}
}

// Guards against an entry node that takes a close notice for the response to a later request.
func TestConnectionWithACloseNoticeIsNotUsedAgain(t *testing.T) {
	l := listenLocal(t)
	s := start(t, l, &http.Server{IdleTimeout: 20 * time.Millisecond}, Config{CloseNotice: forward.ConnectionClosing()})
	c := forward.NewClient(forward.DefaultClientConfig())
	for range 3 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String()+"/a", nil)
		must.NoError(t, err)
		resp, err := c.RoundTrip(req)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, resp.StatusCode)
		must.NoError(t, resp.Body.Close())
		time.Sleep(40 * time.Millisecond) // past the idle timeout
	}
	must.NoError(t, s.Shutdown(t.Context()))
}

// slowReader is a client with a small receive buffer.
func slowReader(t *testing.T, l net.Listener) *client {
	t.Helper()
	d := net.Dialer{Control: transporttest.ReceiveBuffer(4 << 10)}
	c, err := d.DialContext(t.Context(), "tcp", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &client{c, bufio.NewReader(c)}
}

// largeBody is what the kernel's buffers of a slowReader and its server hold together, at least in part.
var largeBody = make([]byte, 1<<20)

// Guards against a last response that is lost with a reset, since bytes that the server doesn't read have
// arrived behind its request.
func TestLastResponseArrivesWithUnreadBytesBehindItsRequest(t *testing.T) {
	l := listenLocal(t)
	start(t, l, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = w.Write(largeBody)
	})}, Config{})
	c := slowReader(t, l)
	c.write(t, get("/a"))
	_, err := c.br.Peek(1)
	must.NoError(t, err)
	c.write(t, get("/b"))
	_, body := c.read(t)
	must.Eq(t, len(largeBody), len(body))
}

// Guards against an idle timeout that ends a connection whose client is still receiving the last response: its
// next request resets the connection.
func TestSlowlyReadResponseOutlivesTheIdleTimeout(t *testing.T) {
	l := listenLocal(t)
	start(t, l, &http.Server{IdleTimeout: time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(len(largeBody)))
		_, _ = w.Write(largeBody)
	})}, Config{})
	c := slowReader(t, l)
	c.write(t, get("/a"))
	resp, err := http.ReadResponse(c.br, nil)
	must.NoError(t, err)
	rest := int64(64 << 10)
	_, err = io.CopyN(io.Discard, resp.Body, int64(len(largeBody))-rest)
	must.NoError(t, err)
	time.Sleep(2 * lingerTime)
	c.write(t, get("/b"))
	n, err := io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	must.Eq(t, rest, n)
	_, body := c.read(t)
	must.Eq(t, len(largeBody), len(body))
}

// Guards against a shutdown that takes longer, and keeps callers away longer, for connections that their
// clients only hold in a pool.
func TestCloseIdleEndsIdleConnectionsAndServesOthers(t *testing.T) {
	l := listenLocal(t)
	s := start(t, l, new(http.Server), Config{CloseNotice: forward.ConnectionClosing()})
	idle := dial(t, l)
	idle.write(t, get("/a"))
	idle.read(t)
	received := make(chan struct{})
	closing := make(chan struct{})
	go func() { // the server may not have finished the response's bookkeeping yet
		defer close(closing)
		for {
			s.CloseIdle()
			select {
			case <-received:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	resp, _ := idle.read(t)
	close(received)
	<-closing
	must.Eq(t, string(outcome.NotRun), resp.Header.Get(outcome.HeaderOutcome))
	_, err := idle.br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	other := dial(t, l)
	other.write(t, get("/b"))
	_, body := other.read(t)
	must.Eq(t, "/b", body)
}
