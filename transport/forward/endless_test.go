package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
)

const (
	// endlessDeadline is the deadline of requests to an endlessServer. An endless response must have
	// failed before, so that the request can be sent elsewhere.
	endlessDeadline = time.Minute
	// endlessBody bounds a body of unknown length, in bytes.
	endlessBody = 1 << 20
	// endlessMemory bounds what is allocated for one response, in bytes: thirty at once fit into the
	// memory of a small host.
	endlessMemory = 4 << 20
)

// endlessServer answers each request with begin, followed by piece again and again until its connection
// is closed.
type endlessServer struct {
	addr string
	// closed is told when a connection was closed.
	closed chan struct{}
}

func newEndlessServer(t *testing.T, begin, piece string, pause time.Duration) *endlessServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &endlessServer{addr: ln.Addr().String(), closed: make(chan struct{}, 1)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c, begin, []byte(piece), pause)
		}
	}()
	return s
}

func (s *endlessServer) serve(c net.Conn, begin string, piece []byte, pause time.Duration) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(2 * endlessDeadline))
	_, err := io.WriteString(c, begin)
	for err == nil {
		_, err = c.Write(piece)
		time.Sleep(pause)
	}
	s.closed <- struct{}{}
}

// Guards against bytes without end in place of a response, or within one, that are read until the
// request's deadline or kept in memory.
func TestEndlessResponseEndsItsConnectionSoon(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nX-Of: another\r\n"
	const own = "HTTP/1.1 200 OK\r\n"
	const refused = "HTTP/1.1 503 Service Unavailable\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	text := strings.Repeat("x", 8<<10)
	chunk := "2000\r\n" + text + "\r\n"
	for name, c := range map[string]struct {
		begin, piece string
		pause        time.Duration
		bytes        int // most that may be received; 0 stands for what a head may have
	}{
		"no response at all":           {begin: "", piece: text},
		"status line":                  {begin: "HTTP/1.1 200 ", piece: text},
		"header line":                  {begin: own + "X: ", piece: text},
		"header lines":                 {begin: own, piece: "X: " + text[:100] + "\r\n"},
		"short header lines":           {begin: own, piece: strings.Repeat("X:\r\n", 1000)},
		"slow head":                    {begin: own, piece: "X: y\r\n", pause: 10 * time.Millisecond},
		"slow status line":             {begin: "HTTP/1.1 200 ", piece: "x", pause: 10 * time.Millisecond},
		"interim responses":            {begin: "", piece: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"interim head":                 {begin: "HTTP/1.1 103 Early Hints\r\n", piece: "X: " + text[:100] + "\r\n"},
		"foreign responses":            {begin: "", piece: foreign + "Content-Length: 2\r\n\r\nok"},
		"foreign body without length":  {begin: foreign + "\r\n", piece: text, bytes: maxForeign},
		"foreign body with a length":   {begin: foreign + "Content-Length: 999999999999\r\n\r\n", piece: text, bytes: maxForeign},
		"foreign body in chunks":       {begin: foreign + chunked, piece: chunk, bytes: 2 * maxForeign},
		"slow foreign body":            {begin: foreign + "\r\n", piece: "x", pause: 10 * time.Millisecond},
		"slow foreign chunks":          {begin: foreign + chunked, piece: "1\r\nx\r\n", pause: 10 * time.Millisecond},
		"trailers of a foreign body":   {begin: foreign + chunked + "0\r\n", piece: "X: y\r\n"},
		"own body without length":      {begin: own + "\r\n", piece: text, bytes: endlessBody},
		"own body in chunks":           {begin: own + chunked, piece: chunk, bytes: 2 * endlessBody},
		"own body in tiny chunks":      {begin: own + chunked, piece: strings.Repeat("1\r\nx\r\n", 1000), bytes: 10 * endlessBody},
		"extensions of chunks":         {begin: own + chunked, piece: strings.Repeat("1;"+text[:100]+"\r\nx\r\n", 100)},
		"chunk line":                   {begin: own + chunked + "1;", piece: text},
		"trailers":                     {begin: own + chunked + "1\r\nx\r\n0\r\n", piece: "X: " + text[:100] + "\r\n"},
		"trailer line":                 {begin: own + chunked + "1\r\nx\r\n0\r\nX: ", piece: text},
		"refusal's body":               {begin: refused + "\r\n", piece: text},
		"refusal's body in chunks":     {begin: refused + chunked, piece: chunk},
		"refusal's body with a length": {begin: refused + "Content-Length: 999999999999\r\n\r\n", piece: text},
		"slow refusal's body":          {begin: refused + "\r\n", piece: "x", pause: 10 * time.Millisecond},
		"behind a response":            {begin: own + "Content-Length: 2\r\n\r\nok", piece: text},
		"later behind a response":      {begin: own + "Content-Length: 2\r\n\r\nok", piece: "x", pause: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEndlessServer(t, c.begin, c.piece, c.pause)
			cfg := DefaultClientConfig()
			cfg.IdleCheck, cfg.MaxUnframedBody = 100*time.Millisecond, endlessBody
			cfg.Foreign = func(_ *http.Request, resp *http.Response) bool { return resp.Header.Get("X-Of") != "" }
			cfg.Received = new(metrics.Counter)
			client := NewClient(cfg)
			ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.addr+"/x", nil)
			must.NoError(t, err)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			exchangeEndless(t, client, req)
			runtime.ReadMemStats(&after)
			must.NoError(t, ctx.Err(), must.Sprint("there is time for another attempt"))
			select {
			case <-s.closed:
			case <-ctx.Done():
				t.Fatal("the connection is still open")
			}
			must.LessEq(t, max(c.bytes, maxHeads*maxResponseHead)+2*bufferSize, int(cfg.Received.Get()))
			must.LessEq(t, endlessMemory, int(after.TotalAlloc-before.TotalAlloc), must.Sprint("bytes allocated"))
		})
	}
}

// exchangeEndless sends a request as a gate does and takes its response.
func exchangeEndless(t *testing.T, client *Client, req *http.Request) {
	resp, err := client.RoundTrip(req)
	if err != nil {
		var send *SendError
		must.True(t, errors.As(err, &send))
		must.True(t, send.Sent)
		return
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		Drain(resp)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body) // it may be whole
	_ = resp.Body.Close()
}

// Guards against an event stream that ends because it lasts.
func TestEventStreamHasNoLimit(t *testing.T) {
	s := newEndlessServer(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "data: "+strings.Repeat("x", 1<<10)+"\n\n", 0)
	cfg := DefaultClientConfig()
	cfg.MaxUnframedBody = endlessBody
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.addr+"/x", nil)
	must.NoError(t, err)
	resp, err := NewClient(cfg).RoundTrip(req)
	must.NoError(t, err)
	_, err = io.CopyN(io.Discard, resp.Body, 4*endlessBody)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
}
