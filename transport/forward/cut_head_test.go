package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/transport/headpack"
	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// cutServer answers each request with a text and closes the connection.
func cutServer(t *testing.T, packed bool, answer func() string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	if packed {
		ln = headpack.Listener{Listener: ln}
	}
	go transporttest.ServeRaw(ln, answer)
	return ln.Addr().String()
}

// Guards against a head that breaks off, at whatever byte, and passes for a whole answer.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	heads := map[string]string{
		"no length":         "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\n",
		"close":             "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Stamp: s\r\n\r\n",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\nX-Stamp: s\r\n\r\n",
		"length":            "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 12\r\n\r\n",
		"chunked":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Stamp: s\r\n\r\n",
		"no fields":         "HTTP/1.1 200 OK\r\n\r\n",
		"behind interim":    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\n",
		"line feeds only":   "HTTP/1.1 200 OK\nX-Stamp: s\n\n",
		"spaces at the end": "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n \r\n\r\n",
	}
	for _, packed := range []bool{false, true} {
		for name, head := range heads {
			t.Run(fmt.Sprintf("%s, packed=%v", name, packed), func(t *testing.T) {
				var answer atomic.Pointer[string]
				addr := cutServer(t, packed, func() string { return *answer.Load() })
				cfg := DefaultClientConfig()
				cfg.PackHeads = packed
				client := NewClient(cfg)
				for cut := range len(head) {
					sent := head[:cut]
					answer.Store(&sent)
					req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/", nil)
					must.NoError(t, err)
					resp, err := client.RoundTrip(req)
					if err == nil {
						body, bodyErr := io.ReadAll(resp.Body)
						_ = resp.Body.Close()
						must.Error(t, bodyErr, must.Sprintf("status %d with %q after %q", resp.StatusCode, body, strings.ReplaceAll(sent, "\r\n", "|")))
					}
				}
			})
		}
	}
}
