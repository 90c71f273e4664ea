package callers

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

// requestsIn returns the requests that net/http parses from a caller's bytes, each as
// method, target and body.
func requestsIn(sent []byte) []string {
	br := bufio.NewReader(bytes.NewReader(sent))
	var all []string
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return all
		}
		body, err := io.ReadAll(req.Body)
		all = append(all, req.Method+" "+req.RequestURI+" "+string(body))
		if err != nil {
			return all // a handler that doesn't read the body may still run
		}
	}
}

// FuzzNoRequestIsMadeUp sends arbitrary bytes on a connection. The handler must only get
// requests that were sent, complete and each once: bytes of a body must never be parsed
// as a request, however the body is framed and whether the handler reads it or not.
func FuzzNoRequestIsMadeUp(f *testing.F) {
	for _, seed := range []string{
		get("/1") + get("/2"),
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" + get("/b"),
		"POST /leave HTTP/1.1\r\nHost: h\r\nContent-Length: 31\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n" + get("/b"),
		"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + get("/d"),
		"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + get("/d"),
		"POST /e HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab" + get("/f"),
		"GET /g HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/h"),
		"PUT /leave HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody" + get("/i"),
		"GET /j HTTP/1.0\r\n\r\n" + get("/k"),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		var mu sync.Mutex
		var handled []string
		s := New(Config{
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				seen := r.Method + " " + r.RequestURI + " "
				if r.URL.Path != "/leave" {
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					seen += string(body)
				}
				mu.Lock()
				defer mu.Unlock()
				handled = append(handled, seen)
			}),
			PipelineDepth: 4,
			Limits: func() Limits {
				return Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}
			},
			RequestID: func(map[string][]string) string { return "" },
			Metrics:   metrics.NewSet(),
			Logger:    log.NewNopLogger(),
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		go func() { _ = s.Serve(l) }()
		defer func() { _ = s.Close() }()
		c, err := net.Dial("tcp", l.Addr().String())
		must.NoError(t, err)
		defer c.Close()
		_, _ = c.Write(sent) // the server may have closed the connection
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c) // until the server closes the connection
		mu.Lock()
		defer mu.Unlock()
		remaining := requestsIn(sent)
		for _, h := range handled {
			i := slices.IndexFunc(remaining, func(want string) bool { return want == h || matchesWithoutBody(want, h) })
			must.GreaterEq(t, 0, i, must.Sprintf("%q was not sent, or was handled more often than sent", h))
			remaining = slices.Delete(remaining, i, i+1)
		}
	})
}

// matchesWithoutBody reports whether a request that was handled without reading its body is the one
// sent.
func matchesWithoutBody(sent, handled string) bool {
	return len(sent) >= len(handled) && sent[:len(handled)] == handled && bytes.Contains([]byte(handled), []byte("/leave"))
}
