package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/forward"
	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// truncateAfter stands in for a gate: it reads that many bytes of the body, then sends
// a truncated response.
func truncateAfter(w http.ResponseWriter, r *http.Request, read int) {
	_, _ = io.ReadFull(r.Body, make([]byte, read))
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+outcome.HeaderOutcome+": answered\r\nContent-Length: 9\r\n\r\npart")
		_ = c.Close()
	}
}

// A caller that is still sending its body must have its connection closed when its
// response is truncated; otherwise it can't detect the truncation.
func TestBrokenAnswerEndsItsConnectionWhileTheBodyIsBeingSent(t *testing.T) {
	begin := strings.Repeat("x", forward.FingerprintBytes+1)
	b := newTestBed()
	b.cfg.MaxReplayBody = 1 // larger bodies are streamed
	b.start(t)
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { truncateAfter(w, r, len(begin)) }))
	defer gate.Close()
	b.gateURL = gate.URL
	b.serveBy("host-1")
	synctest.Test(t, func(t *testing.T) {
		caller, accepted := net.Pipe()
		defer caller.Close()
		_ = newServer(b.proxy).Serve(transporttest.SingleListener(&callerConn{Conn: accepted}))
		ended := false
		go func() {
			_, _ = io.Copy(io.Discard, caller)
			ended = true
		}()
		_, err := io.WriteString(caller, "POST /x HTTP/1.1\r\nHost: "+testHost+"\r\nContent-Length: 200000\r\n\r\n"+begin)
		must.NoError(t, err)
		synctest.Wait()
		must.True(t, ended)
	})
}

// A request that a caller pipelined behind one whose response is truncated is lost with
// the connection. It must not reach a backend server.
func TestRequestsPipelinedBehindTruncatedResponseAreNotForwarded(t *testing.T) {
	b := newTestBed().start(t)
	received := make(chan string, 2)
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.URL.Path
		truncateAfter(w, r, 0)
	}))
	defer gate.Close()
	b.gateURL = gate.URL
	b.serveBy("host-1")
	caller, err := net.Dial("tcp", b.url[len("http://"):])
	must.NoError(t, err)
	defer caller.Close()
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: " + testHost + "\r\n\r\n" }
	_, err = io.WriteString(caller, get("/first")+get("/behind"))
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, caller) // whether it ends by EOF or by an error doesn't matter
	must.Eq(t, "/first", <-received)
	must.Eq(t, 0, len(received))
}

// Guards against a response that the backend server has begun, and that is cut at its deadline.
func TestBegunResponseIsDeliveredPastItsDeadline(t *testing.T) {
	const half = 100 << 10
	for name, length := range map[string]string{"with a length": strconv.Itoa(2 * half), "without a length": ""} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed()
			b.cfg.ResponseExtension = time.Minute
			b.class.Deadline = model.Duration(200 * time.Millisecond)
			b.work = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = w.Write(make([]byte, half))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(400 * time.Millisecond)
				_, _ = w.Write(make([]byte, half))
			})
			b.start(t)
			must.Eq(t, 2*half, len(read(t, b.do(t, b.request(t, "GET", "/x", "")))))
		})
	}
}
