package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an interim response that an HTTP/1.0 caller takes for the response: HTTP/1.0 has none.
func TestCallerOfHTTP10GetsNoInterimResponse(t *testing.T) {
	hint := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</a>")
		w.WriteHeader(http.StatusEarlyHints)
		_, _ = io.WriteString(w, "whole")
	})
	b := newTestBed()
	b.work = hint
	_, addr := startOlder(t, b)
	b.proxy.cfg.OlderAddr = b.addr
	rebuilding := strings.TrimPrefix(b.url, "http://") // requests for the older system
	for _, c := range []struct{ addr, path string }{{addr, "/x"}, {rebuilding, "/x"}, {rebuilding, "/older/x"}} {
		conn, err := net.Dial("tcp", c.addr)
		must.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET "+c.path+" HTTP/1.0\r\nHost: screens.example\r\n\r\n")
		must.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint(c.path))
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, "whole", string(body))
	}
}
