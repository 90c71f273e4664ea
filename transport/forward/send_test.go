package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// staleServer starts a server that responds to the first request of each connection
// and closes the connection without a response on the second one. It returns its
// address and the number of requests received.
func staleServer(t *testing.T) (addr string, count *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	count = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveStale(c, count)
		}
	}()
	return l.Addr().String(), count
}

// serveStale serves one connection of staleServer.
func serveStale(c net.Conn, count *atomic.Int64) {
	defer c.Close()
	r := bufio.NewReader(c)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		count.Add(1)
		if i == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// When a reused connection is closed under them, net/http's own client retries such
// requests by itself.
func TestNothingIsSentTwice(t *testing.T) {
	cases := []struct {
		name, method, body string
		key                bool
	}{
		{"get", "GET", "", false},
		{"get with key", "GET", "", true},
		{"head", "HEAD", "", false},
		{"post with key", "POST", "book", true},
		{"empty post with key", "POST", "", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			addr, count := staleServer(t)
			rt := NewClient(DefaultClientConfig())
			defer rt.CloseIdleConnections()
			send := func() error {
				in := httptest.NewRequest(tc.method, "/", strings.NewReader(tc.body))
				if tc.key {
					in.Header.Set(outcome.HeaderIdempotencyKey, "k")
				}
				var body io.ReadCloser
				if tc.body != "" {
					body = in.Body
				}
				resp, err := Send(rt, NewRequest(t.Context(), in, "http", addr, body, int64(len(tc.body))), nil)
				if err == nil {
					Drain(resp)
				}
				return err
			}
			must.NoError(t, send())
			var failed *SendError
			must.True(t, errors.As(send(), &failed))
			must.True(t, failed.Sent)
			must.Eq(t, 2, count.Load())
		})
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	in := httptest.NewRequest("POST", "/", nil)
	_, err = Send(NewClient(DefaultClientConfig()), NewRequest(t.Context(), in, "http", l.Addr().String(), nil, 0), nil)
	var failed *SendError
	must.True(t, errors.As(err, &failed))
	must.False(t, failed.Sent)
}

// A request may be reported as not sent only if nothing can be written afterwards.
func TestSealedConnectionSendsNothing(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	c := newTrackedConn(client, nil, nil)
	must.Eq(t, 0, c.seal())
	_, err := c.Write([]byte("late"))
	var sealed *sealedError
	must.True(t, errors.As(err, &sealed))
	must.Eq(t, 0, c.seal())
}

func TestTruncatedResponsesAreReported(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, response)
			_ = c.Close()
		}()
		rt := NewClient(DefaultClientConfig())
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			resp, err := Send(rt, NewRequest(r.Context(), r, "http", l.Addr().String(), nil, 0), w)
			must.NoError(t, err)
			var truncated *TruncatedError
			must.True(t, errors.As(Relay(w, resp), &truncated))
			panic(http.ErrAbortHandler)
		}))
		resp, err := http.Get(s.URL)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		must.Error(t, err)
		s.Close()
		must.NoError(t, l.Close())
	}
}

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	in := httptest.NewRequest("GET", "/", nil)
	in.Header = http.Header{
		"Connection": {"X-Secret, keep-alive", "x-other"}, "X-Secret": {"1"}, "X-Other": {"1"},
		"Keep-Alive": {"1"}, "Te": {"gzip, trailers"}, "Upgrade": {"h2c"}, "X-Kept": {"1", "2"},
	}
	h := NewRequest(t.Context(), in, "http", "127.0.0.1:1", nil, 0).Header
	must.Eq(t, http.Header{"Te": {"trailers"}, "X-Kept": {"1", "2"}, "User-Agent": {""}}, h)
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		refusal *Refusal
		status  int
		retry   bool
	}{
		{NotRun(outcome.ReasonRateLimited, ""), 429, true},
		{NotRun(outcome.ReasonDraining, ""), 503, true},
		{NotRun(outcome.ReasonDeadline, ""), 504, true},
		{NotRun(outcome.ReasonLoop, ""), 508, true},
		{NotRun(outcome.ReasonWrongService, ""), 421, true},
		{NotRun(outcome.ReasonKeyReused, ""), 422, true},
		{Unknown(outcome.ReasonBackendFailed, ""), 502, false},
		{Unknown(outcome.ReasonDeadline, ""), 504, false},
		{Unknown(outcome.ReasonInProgress, ""), 409, false},
	}
	for _, tc := range cases {
		w := httptest.NewRecorder()
		tc.refusal.Write(w)
		must.Eq(t, tc.status, w.Code)
		must.Eq(t, string(tc.refusal.Outcome), w.Header().Get(outcome.HeaderOutcome))
		must.Eq(t, tc.retry, w.Header().Get("Retry-After") != "")
	}
}

// Only one attempt at a time may read a body.
func TestStreamBodyHasOneReader(t *testing.T) {
	r := httptest.NewRequest("POST", "/", strings.NewReader("body"))
	first := NewStreamBody(httptest.NewRecorder(), r)
	second := first.Reclaim()
	must.NotNil(t, second)
	_, err := first.Read(make([]byte, 1))
	must.ErrorIs(t, err, http.ErrBodyReadAfterClose)
	b, err := io.ReadAll(second)
	must.NoError(t, err)
	must.Eq(t, "body", string(b))
	must.Nil(t, second.Reclaim())
}
