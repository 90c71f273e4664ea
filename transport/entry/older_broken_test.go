package entry

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startRawOlder starts a test bed whose older system reads the head of a request, writes an answer and ends
// the connection by end. It returns the address for callers.
func startRawOlder(t *testing.T, answer string, end func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer)
			}
			end(c.(*net.TCPConn))
		}
	}()
	b := newTestBed()
	b.cfg.OlderAddr = l.Addr().String()
	b.start(t)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = b.proxy.Serve(front) }()
	t.Cleanup(func() { must.NoError(t, b.proxy.Shutdown(context.Background())) })
	return front.Addr().String()
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails only on a closed connection
	_ = c.Close()
}

// Guards against a response without a length of the older system that is truncated and passes for whole.
func TestOlderTruncatedResponseWithoutLengthEndsWithAReset(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for how, end := range map[string]func(c *net.TCPConn){"reset": resetConn, "closed": func(c *net.TCPConn) { _ = c.Close() }} {
			t.Run(proto+", "+how, func(t *testing.T) {
				addr := startRawOlder(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 1000), end)
				c, err := net.Dial("tcp", addr)
				must.NoError(t, err)
				defer c.Close()
				_, err = io.WriteString(c, "GET /older/a "+proto+"\r\nHost: screens.example\r\n\r\n")
				must.NoError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				must.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				must.Eq(t, 1000, len(body))
				if how == "reset" {
					must.ErrorIs(t, err, syscall.ECONNRESET)
				} else {
					must.NoError(t, err)
				}
			})
		}
	}
}

// Guards against a reset that the write of a request's body meets, so that the read after it returns the end
// of the stream.
func TestOlderConnectionEndsOnlyIfTheOlderSystemClosesIt(t *testing.T) {
	for how, end := range map[string]func(c *net.TCPConn){
		"reset":               resetConn,
		"closed for writing":  func(c *net.TCPConn) { _ = c.CloseWrite() },
		"closed, then resets": func(c *net.TCPConn) { _ = c.CloseWrite(); resetConn(c) },
	} {
		t.Run(how, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer l.Close()
			b := newTestBed()
			b.cfg.OlderAddr = l.Addr().String()
			b.start(t)
			var caller callerConn
			must.NoError(t, b.proxy.older.connect(t.Context(), &caller))
			defer caller.older.Close()
			accepted, err := l.Accept()
			must.NoError(t, err)
			defer accepted.Close()
			_, err = io.WriteString(accepted, "part")
			must.NoError(t, err)
			end(accepted.(*net.TCPConn))
			for how != "closed for writing" && err == nil {
				_, err = io.WriteString(caller.older, "x")
			}
			got, err := io.ReadAll(caller.older.reader)
			must.Eq(t, "part", string(got))
			must.Eq(t, how == "reset", err != nil)
		})
	}
}

// checkOlderIsNoResponse checks that callers get no whole response for what the older system sends.
func checkOlderIsNoResponse(t *testing.T, answer string) {
	t.Helper()
	addr := startRawOlder(t, answer, func(c *net.TCPConn) { _ = c.Close() })
	c, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(c, "GET /older/a HTTP/1.1\r\nHost: screens.example\r\n\r\n")
	must.NoError(t, err)
	got, _ := io.ReadAll(c) // the end may be a reset
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(got)), nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	must.Error(t, err, must.Sprintf("%q", got))
}

// Guards against a status that isn't one.
func TestOlderStatusBelow100IsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "+20"} {
		checkOlderIsNoResponse(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 4\r\n\r\nbody")
		checkOlderIsNoResponse(t, "HTTP/1.1 "+status+" Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
	}
}

// Guards against a field whose name isn't one, in the head or the trailers.
func TestOlderFieldNameThatIsNoneIsNoResponse(t *testing.T) {
	const head, chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "\r\n4\r\nwell\r\n0\r\n"
	for _, field := range []string{"X A: b", "X-A : b", "Content-Length : 4", "X\x07A: b", "no colon"} {
		checkOlderIsNoResponse(t, head+field+"\r\n"+chunk+"\r\n")
		checkOlderIsNoResponse(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\nwell")
		checkOlderIsNoResponse(t, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n\r\n"+head+chunk+"\r\n")
		checkOlderIsNoResponse(t, head+chunk+field+"\r\n\r\n")
	}
}

// Guards against chunks that pass for the body, as HTTP/1.0 has none.
func TestOlderChunkedResponseOfHTTP10IsNoResponse(t *testing.T) {
	checkOlderIsNoResponse(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n")
}
