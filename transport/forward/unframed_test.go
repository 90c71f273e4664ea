package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// unframedServer answers a request whose body is still being sent, and waits for a signal to end the
// connection.
type unframedServer struct {
	addr     string
	answered chan *net.TCPConn
}

func newUnframedServer(t *testing.T, answer string) *unframedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &unframedServer{addr: l.Addr().String(), answered: make(chan *net.TCPConn, 1)}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		s.answered <- c.(*net.TCPConn)
	}()
	return s
}

// gatedBody is a request body whose next byte doesn't come before the gate opens; it has no end.
type gatedBody struct{ gate chan struct{} }

// Read implements io.Reader.
func (b gatedBody) Read(p []byte) (int, error) {
	<-b.gate
	return len(p), nil
}

// Close implements io.Closer.
func (gatedBody) Close() error { return nil }

// reset resets a connection.
func reset(t *testing.T, c *net.TCPConn) {
	must.NoError(t, c.SetLinger(0))
	must.NoError(t, c.Close())
}

// Guards against a response without a length that passes for whole although its connection has failed:
// the write of the request's body got the error, and the read after it the end of the stream.
func TestResponseWithoutLengthIsWholeOnlyIfTheServerEndsIt(t *testing.T) {
	const body = 1000
	heads := map[string]string{
		"no length":    "HTTP/1.1 200 OK\r\n\r\n",
		"close":        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"HTTP/1.0":     "HTTP/1.0 200 OK\r\n\r\n",
		"event stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
	}
	ends := map[string]struct {
		end   func(t *testing.T, c *net.TCPConn)
		whole bool
		fails bool // the write of the request's body fails
	}{
		"reset":                      {reset, false, true},
		"closed with unread bytes":   {func(t *testing.T, c *net.TCPConn) { must.NoError(t, c.Close()) }, false, true},
		"path lost":                  {transporttest.DropReceived, false, true},
		"closed for writing":         {func(t *testing.T, c *net.TCPConn) { must.NoError(t, c.CloseWrite()) }, true, false},
		"closed, upload goes on":     {func(t *testing.T, c *net.TCPConn) { must.NoError(t, c.Close()) }, true, true},
		"closed for writing, reset":  {func(t *testing.T, c *net.TCPConn) { must.NoError(t, c.CloseWrite()); reset(t, c) }, true, true},
		"closed for writing, silent": {func(t *testing.T, c *net.TCPConn) { must.NoError(t, c.CloseWrite()); transporttest.DropReceived(t, c) }, true, true},
	}
	for form, head := range heads {
		for how, end := range ends {
			t.Run(form+", "+how, func(t *testing.T) {
				t.Parallel()
				s := newUnframedServer(t, head+strings.Repeat("x", body))
				cfg := DefaultClientConfig()
				cfg.UnackedTimeout = 200 * time.Millisecond
				requestBody := gatedBody{make(chan struct{})}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				resp, err := post(ctx, NewClient(cfg), s.addr, requestBody, 1<<40)
				must.NoError(t, err)
				conn := <-s.answered
				defer conn.Close()
				if how == "closed with unread bytes" {
					requestBody.gate <- struct{}{}
					must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return sockopt.HasUnread(conn) }), wait.Timeout(5*time.Second)))
				}
				end.end(t, conn)
				upload := resp.Body.(*responseBody).trip.upload
				close(requestBody.gate)
				if end.fails {
					must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return len(upload.result) == 1 }), wait.Timeout(5*time.Second)))
				}
				got, err := io.ReadAll(resp.Body)
				must.Eq(t, body, len(got))
				if end.whole {
					must.NoError(t, err)
				} else {
					must.Error(t, err)
				}
			})
		}
	}
}

// Guards against the same at net/http's client.
func TestCheckedTransportReadsNoEndThatTheServerDidNotSend(t *testing.T) {
	for how, whole := range map[string]bool{"reset": false, "closed for writing, reset": true} {
		t.Run(how, func(t *testing.T) {
			s := newUnframedServer(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 1000))
			var own net.Conn
			client := CheckedTransport(&http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				var err error
				own, err = new(net.Dialer).DialContext(ctx, network, addr)
				return own, err
			}})
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.addr+"/", nil)
			must.NoError(t, err)
			resp, err := client.RoundTrip(req)
			must.NoError(t, err)
			defer resp.Body.Close()
			conn := <-s.answered
			if whole {
				must.NoError(t, conn.CloseWrite())
			}
			reset(t, conn)
			for err == nil {
				_, err = io.WriteString(own, "x") // meets the reset
			}
			body, err := io.ReadAll(resp.Body)
			must.Eq(t, 1000, len(body))
			must.Eq(t, whole, err == nil, must.Sprint(err))
		})
	}
}
