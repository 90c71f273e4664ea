package outbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/callers"
	"github.com/jacinthgate/jacinthgate/transport/forward"
	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// serveRaw starts a server that writes text to each connection after a request and then closes
// it. It returns the server's address.
func serveRaw(t *testing.T, text string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go transporttest.ServeRaw(l, func() string { return text })
	return l.Addr().String()
}

func TestResponsesWithoutLengthReachTheCallerUnchanged(t *testing.T) {
	own := outcome.HeaderOutcome + ": " + string(outcome.Answered) + "\r\n" + outcome.HeaderReached + ": 1\r\n"
	client := forward.NewClient(forward.DefaultClientConfig())
	for name, test := range map[string]struct {
		method, head, body string
		status             int
		want               string
		header             http.Header
	}{
		"closed":           {"GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "body", 200, "body", http.Header{"Content-Length": {"4"}}},
		"closed, HTTP/1.0": {"GET", "HTTP/1.0 200 OK\r\n", "body", 200, "body", http.Header{"Content-Length": {"4"}}},
		"empty":            {"GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "", 200, "", http.Header{"Content-Length": {"0"}}},
		"chunked":          {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", 200, "body", http.Header{"Content-Length": {"4"}}},
		"encoded":          {"GET", "HTTP/1.1 200 OK\r\nContent-Encoding: x\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", 200, "body", http.Header{"Content-Length": {"4"}, "Content-Encoding": {"x"}}},
		"chunked, broken":  {"GET", "HTTP/1.1 200 OK\r\nStamp: 1\r\nTransfer-Encoding: chunked\r\n", "4\r\nbo", 502, "", http.Header{"Content-Length": {"0"}}},
		"chunked, no end":  {"GET", "HTTP/1.1 200 OK\r\nStamp: 1\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n", 502, "", http.Header{"Content-Length": {"0"}}},
		"HEAD":             {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "", 200, "", http.Header{}},
		"HEAD, length":     {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n", "", 200, "", http.Header{"Content-Length": {"9"}}},
		"204":              {"GET", "HTTP/1.1 204 No Content\r\n", "", 204, "", http.Header{}},
		"304":              {"GET", "HTTP/1.1 304 Not Modified\r\nEtag: \"1\"\r\n", "", 304, "", http.Header{"Etag": {`"1"`}}},
		"304, length":      {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n", "", 304, "", http.Header{"Content-Length": {"9"}}},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveRaw(t, test.head+own+"\r\n"+test.body)
			p := proxyWithGate(t, func(r *http.Request) (*http.Response, error) {
				r.URL.Host = addr
				return client.RoundTrip(r)
			})
			c, br := connect(t, p)
			_, err := io.WriteString(c, test.method+" / HTTP/1.1\r\nHost: h\r\n\r\n"+test.method+" / HTTP/1.1\r\nHost: h\r\n\r\n")
			must.NoError(t, err)
			for range 2 {
				resp, err := http.ReadResponse(br, &http.Request{Method: test.method})
				must.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				must.NoError(t, err)
				must.Eq(t, test.status, resp.StatusCode)
				must.Eq(t, test.want, string(body))
				must.Eq(t, test.header, resp.Header)
			}
		})
	}
}

func TestResponseWithoutLengthGetsOneForHTTP10(t *testing.T) {
	p := proxyWithGate(t, func(*http.Request) (*http.Response, error) {
		return relayedResponse(-1, strings.NewReader("body")), nil
	})
	c, br := connect(t, p)
	_, err := io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	resp, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
	must.Eq(t, 4, resp.ContentLength)
	must.True(t, resp.Close)
	rest, err := io.ReadAll(br)
	must.NoError(t, err)
	must.Eq(t, "body", string(rest))
}

func TestNonRepeatableRequestIsNotResentAfterTruncation(t *testing.T) {
	sends := 0
	p := newProxy(t, model.KindNonRepeatable, 9, nil)
	g := gateFunc(func(*http.Request) (*http.Response, error) {
		sends++
		resp := relayedResponse(-1, truncatedBody{strings.NewReader("part")})
		resp.Header.Set("Stamp", "1")
		return resp, nil
	})
	p.cfg.Near, p.cfg.Far, p.cfg.MaxBodyBuffer = g, g, maxKept
	w := get(p)
	must.Eq(t, http.StatusBadGateway, w.Code)
	must.Eq(t, "", w.Header().Get("Stamp")+w.Body.String())
	must.Eq(t, 1, sends)
}

func TestFailureWithoutLengthIsRelayedWhereAllAttemptsFail(t *testing.T) {
	p := proxyWithGate(t, func(*http.Request) (*http.Response, error) {
		resp := relayedResponse(-1, strings.NewReader("reason"))
		resp.StatusCode = http.StatusInternalServerError
		return resp, nil
	})
	w := get(p)
	must.Eq(t, "500 reason", strconv.Itoa(w.Code)+" "+w.Body.String())
}

// connect serves p on a listener of its own and returns a caller's connection to it.
func connect(t *testing.T, p *Proxy) (net.Conn, *bufio.Reader) {
	t.Helper()
	s := callers.New(callers.Config{
		Handler:       p,
		PipelineDepth: 4,
		Limits:        func() callers.Limits { return callers.Limits{HeaderBytes: 1 << 10} },
		RequestID:     func(map[string][]string) string { return "id" },
		Metrics:       metrics.NewSet(),
		Logger:        log.NewNopLogger(),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c, bufio.NewReader(c)
}
