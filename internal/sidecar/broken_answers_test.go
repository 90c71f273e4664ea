package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// ownFields are the fields of a backend server's response to a request.
func ownFields(r *http.Request) string {
	w := httptest.NewRecorder()
	platformtest.Stamp(w)
	w.Header().Set(platformtest.HeaderRequestID, r.Header.Get(platformtest.HeaderRequestID))
	var fields strings.Builder
	_ = w.Header().Write(&fields) // writing to memory doesn't fail
	return fields.String()
}

// answerRaw sends bytes as the response to a request and closes the connection, or resets it. "OWN"
// stands for the fields of a backend server's response.
func answerRaw(w http.ResponseWriter, r *http.Request, answer string, reset bool) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	_, _ = io.WriteString(c, strings.ReplaceAll(answer, "OWN", ownFields(r))) // the gate may have closed it
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0) // likewise
	}
}

// brokenHeads are responses with a head that isn't one, most of them with a whole one in or behind them.
var brokenHeads = map[string]string{
	"status 000":                   "HTTP/1.1 000 Trouble\r\nOWNContent-Length: 4\r\n\r\nbody",
	"status 000, a response in it": "HTTP/1.1 000 Trouble\r\nOWN\r\nHTTP/1.1 200 OK\r\nOWNContent-Length: 5\r\n\r\ninner",
	"status 099, one behind it":    "HTTP/1.1 099 Trouble\r\nOWNContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nOWNContent-Length: 5\r\n\r\ninner",
	"blank in a name":              "HTTP/1.1 200 OK\r\nOWNX A: b\r\nContent-Length: 4\r\n\r\nbody",
	"blank behind a name":          "HTTP/1.1 200 OK\r\nOWNX-A : b\r\nContent-Length: 4\r\n\r\nbody",
	"blank behind a length":        "HTTP/1.1 200 OK\r\nOWNContent-Length : 4\r\n\r\nbody, and more",
	"blank behind an encoding":     "HTTP/1.1 200 OK\r\nOWNTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"blank in an interim's name":   "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\nOWNContent-Length: 4\r\n\r\nbody",
	"blank in a trailer's name":    "HTTP/1.1 200 OK\r\nOWNTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX A: b\r\n\r\n",
	"blank in a failure's name":    "HTTP/1.1 500 Internal Server Error\r\nOWNX A: b\r\nContent-Length: 4\r\n\r\nbody",
	"blank in a refusal's name":    "HTTP/1.1 503 Service Unavailable\r\nOWN" + platformtest.HeaderNotRun + ": 1\r\nX A: b\r\nContent-Length: 0\r\n\r\n",
	"control byte in a name":       "HTTP/1.1 200 OK\r\nOWNX\x07A: b\r\nContent-Length: 4\r\n\r\nbody",
	"control byte in a value":      "HTTP/1.1 200 OK\r\nOWNX-A: b\x00\r\nContent-Length: 4\r\n\r\nbody",
}

// Guards against broken heads of backend servers in trouble that pass for responses. Their requests may have
// run, and idempotent ones are sent elsewhere.
func TestBrokenHeadReachesNoCaller(t *testing.T) {
	for name, answer := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			var reached atomic.Int32
			broken := func(w http.ResponseWriter, r *http.Request) {
				reached.Add(1)
				answerRaw(w, r, answer, false)
			}
			f.nodes[0].backend.Answer, f.nodes[1].backend.Answer = broken, broken
			for i, m := range f.nodes {
				resp, body := f.do(m, "POST", fmt.Sprint("/book/", i), "one room")
				must.Eq(t, http.StatusBadGateway, resp.StatusCode, must.Sprintf("%v with %q", resp.Header, body))
				must.False(t, platformtest.Stamped(resp.Header))
				must.Eq(t, int32(i+1), reached.Load(), must.Sprint("a request that may have run isn't sent again"))
			}
			resp, body := f.do(f.nodes[0], "GET", "/status/x", "")
			must.Eq(t, http.StatusBadGateway, resp.StatusCode, must.Sprintf("%v with %q", resp.Header, body))
			must.Eq(t, int32(4), reached.Load(), must.Sprint("two attempts"))
			f.nodes[1].backend.Answer = nil
			for i := range 6 {
				resp, body = f.do(f.nodes[i%2], "GET", fmt.Sprint("/status/", i), "")
				must.Eq(t, http.StatusOK, resp.StatusCode)
				must.StrHasPrefix(t, "i-1 ran", body)
			}
		})
	}
}

// upload sends a long body and returns the response's status and the length of its body, or the error that
// ends either.
func upload(t *testing.T, addr, proto string) (status, length int, err error) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	const size = 900 << 10
	head := fmt.Sprintf("POST /upload/x %s\r\nHost: %s\r\n%s: u-%d\r\n%s: 4000\r\nContent-Length: %d\r\n\r\n",
		proto, host, platformtest.HeaderRequestID, time.Now().UnixNano(), platformtest.HeaderWait, size)
	sent := transporttest.Send(c, head+strings.Repeat("x", size))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	body, err := io.ReadAll(resp.Body)
	if proto == "HTTP/1.0" {
		err = sent.Reset(err)
	}
	return resp.StatusCode, len(body), err
}

// Guards against a part of a response that passes for the whole: a backend server answers an upload at once,
// without a length, and resets the connection while the upload is still being written.
func TestResetResponseToAnUploadReachesNoCallerAsWhole(t *testing.T) {
	const tries = 15
	f := uploadFleet(t, 2)
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for name, head := range map[string]string{
			"no length":    "HTTP/1.1 200 OK\r\nOWN\r\n",
			"HTTP/1.0":     "HTTP/1.0 200 OK\r\nOWN\r\n",
			"event stream": "HTTP/1.1 200 OK\r\nOWNContent-Type: text/event-stream\r\n\r\n",
		} {
			for _, size := range []int{1000, 60 << 10} {
				for _, reset := range []bool{true, false} {
					t.Run(fmt.Sprintf("%s, %s, %d bytes, reset=%v", proto, name, size, reset), func(t *testing.T) {
						for _, m := range f.nodes {
							m.backend.Early = func(w http.ResponseWriter, r *http.Request) bool {
								if !reset {
									_, _ = io.Copy(io.Discard, r.Body) // a close with unread bytes is a reset
								}
								answerRaw(w, r, head+strings.Repeat("x", size), reset)
								return true
							}
						}
						for i := range tries {
							status, length, err := upload(t, f.nodes[i%2].node.set.Listen.Callers, proto)
							if reset {
								must.True(t, err != nil || status == http.StatusBadGateway, must.Sprintf("%d with %d bytes", status, length))
								continue
							}
							must.NoError(t, err)
							must.Eq(t, http.StatusOK, status)
							must.Eq(t, size, length)
						}
					})
				}
			}
		}
	}
}
