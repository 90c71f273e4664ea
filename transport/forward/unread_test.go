package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
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
