package callers

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// Guards against a truncated response that an HTTP/1.0 caller takes for a whole one, since its end is
// the connection's end.
func TestTruncatedResponseOfHTTP10EndsWithAReset(t *testing.T) {
	transporttest.CheckHTTP10(t, func(t *testing.T, h http.HandlerFunc) (string, func()) {
		s, addr := startServer(t, h)
		return addr, func() { _ = s.Close() }
	})
}

// Guards against an interim response that an HTTP/1.0 caller takes for the response: HTTP/1.0 has none.
func TestCallerOfHTTP10GetsNo100Continue(t *testing.T) {
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	c, br := dial(t, addr)
	send(t, c, "POST / HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody")
	resp, body := readResponse(t, br)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.Eq(t, "body", body)
}
