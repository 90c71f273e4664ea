package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// A request that was responded to before its body was read must not cause the loss of the next one on
// the connection, unless the response closes the connection.
func TestConnectionServesNextRequestAfterUnreadBody(t *testing.T) {
	for _, framing := range []string{"Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			caller, accepted := net.Pipe()
			defer caller.Close()
			refuse := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				NewStreamBody(w, r)
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			_ = (&http.Server{Handler: refuse}).Serve(transporttest.SingleListener(accepted))
			responses := bufio.NewReader(caller)
			for _, request := range []string{"POST / HTTP/1.1\r\nHost: h\r\n" + framing, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
				_, err := io.WriteString(caller, request)
				must.NoError(t, err)
				resp, err := http.ReadResponse(responses, nil)
				must.NoError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				must.NoError(t, err)
				synctest.Wait()
				if resp.Close {
					return
				}
			}
		})
	}
}

// Guards against a response that comes while its request's body is still being forwarded, and after which
// the next request on the connection is lost.
func TestConnectionServesNextRequestAfterAnEarlyResponse(t *testing.T) {
	first, rest := strings.Repeat("x", 6<<10), strings.Repeat("y", 6<<10)
	for name, body := range map[string][2]string{
		"length":  {"Content-Length: 12288\r\n\r\n" + first, rest},
		"chunked": {"Transfer-Encoding: chunked\r\n\r\n1800\r\n" + first + "\r\n", "1800\r\n" + rest + "\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			handled := make(chan struct{}, 2)
			early := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.ContentLength != 0 {
					stream := NewStreamBody(w, r)
					stream.open()
					_, _ = io.ReadFull(stream, make([]byte, len(first)/2))
					w.WriteHeader(http.StatusOK)
					stream.Finish()
				}
				handled <- struct{}{}
			})
			server := httptest.NewServer(early)
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			must.NoError(t, err)
			defer c.Close()
			responses := bufio.NewReader(c)
			_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+body[0])
			must.NoError(t, err)
			resp, err := http.ReadResponse(responses, nil)
			must.NoError(t, err)
			_, err = io.WriteString(c, body[1]+"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			must.NoError(t, err)
			resp, err = http.ReadResponse(responses, nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, resp.StatusCode)
		})
	}
}
