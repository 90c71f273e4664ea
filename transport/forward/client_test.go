package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// scriptedServer starts a server that sends the same bytes as response to every
// request. With closes set, it closes each connection after its first response. It
// returns its address and the number of connections accepted.
func scriptedServer(t *testing.T, response string, closes bool) (addr string, conns *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	conns = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err = io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					_, _ = io.WriteString(c, response)
					if closes {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), conns
}

// post sends a POST request with the given body to addr.
func post(ctx context.Context, c *Client, addr string, body io.ReadCloser, length int64) (*http.Response, error) {
	in := httptest.NewRequest("POST", "/", nil)
	return Send(c, NewRequest(ctx, in, "http", addr, body, length), nil)
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell"

// Bytes left over from one response must never be taken for the response to
// another request.
func TestConnectionIsReusedOnlyWhenClean(t *testing.T) {
	cases := []struct {
		name, response string
		unread         bool
		conns          int64
	}{
		{"clean", completeResponse, false, 1},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", false, 1},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n", false, 1},
		{"bytes after the end", completeResponse + completeResponse, false, 2},
		{"closing", strings.Replace(completeResponse, "OK\r\n", "OK\r\nConnection: close\r\n", 1), false, 2},
		{"body not read", completeResponse, true, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			addr, conns := scriptedServer(t, tc.response, false)
			c := NewClient(DefaultClientConfig())
			defer c.CloseIdleConnections()
			for range 2 {
				resp, err := post(t.Context(), c, addr, nil, 0)
				must.NoError(t, err)
				if !tc.unread {
					_, err = io.ReadAll(resp.Body)
					must.NoError(t, err)
				}
				must.NoError(t, resp.Body.Close())
			}
			must.Eq(t, tc.conns, conns.Load())
		})
	}
}

// If a request were sent on an idle connection that the server has closed, it would
// count as sent although it was not run.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	addr, conns := scriptedServer(t, completeResponse, true)
	c := NewClient(DefaultClientConfig())
	for range 2 {
		resp, err := post(t.Context(), c, addr, nil, 0)
		must.NoError(t, err)
		Drain(resp)
		v, _ := c.pool.byKey.Load(connKey{"http", addr})
		idle := v.(*idleConns).take()
		for idle.usable() {
			continue // until the end of the connection has arrived
		}
		c.pool.put(idle)
	}
	must.Eq(t, 2, conns.Load())
}

func TestInvalidResponsesAreErrors(t *testing.T) {
	for name, response := range map[string]string{
		"upgrade":      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"interim":      strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxHeads) + completeResponse,
		"endless head": "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: "+strings.Repeat("x", 1000)+"\r\n", 1200) + "\r\n",
		"no HTTP":      "hello\r\n\r\n",
	} {
		addr, _ := scriptedServer(t, response, false)
		_, err := post(t.Context(), NewClient(DefaultClientConfig()), addr, nil, 0)
		var failed *SendError
		must.True(t, errors.As(err, &failed), must.Sprint(name))
		must.True(t, failed.Sent)
	}
}

// A body that is shorter than its stated length must fail the request: it must neither
// keep the server waiting nor look complete.
func TestShortRequestBodyFails(t *testing.T) {
	addr, _ := scriptedServer(t, completeResponse, false)
	_, err := post(t.Context(), NewClient(DefaultClientConfig()), addr, io.NopCloser(strings.NewReader("ab")), 3)
	var failed *SendError
	must.True(t, errors.As(err, &failed))
	must.True(t, failed.Sent)
}

func TestInvalidRequestsAreNotSent(t *testing.T) {
	addr, conns := scriptedServer(t, completeResponse, false)
	for _, change := range []func(*http.Request){
		func(r *http.Request) { r.Method = "GET /x HTTP/1.1\r\nA:" },
		func(r *http.Request) { r.Host = "a\r\nX: 1" },
		func(r *http.Request) { r.URL.RawQuery = "a b" },
	} {
		req := NewRequest(t.Context(), httptest.NewRequest("GET", "/", nil), "http", addr, nil, 0)
		change(req)
		_, err := Send(NewClient(DefaultClientConfig()), req, nil)
		var failed *SendError
		must.True(t, errors.As(err, &failed))
		must.False(t, failed.Sent)
	}
	must.Eq(t, 0, conns.Load())
}

func TestCancellationEndsResponseBody(t *testing.T) {
	addr, _ := scriptedServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", false)
	ctx, cancel := context.WithCancel(t.Context())
	c := NewClient(DefaultClientConfig())
	resp, err := post(ctx, c, addr, nil, 0)
	must.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, 4))
	must.NoError(t, err)
	cancel()
	_, err = resp.Body.Read(make([]byte, 4))
	must.Error(t, err)
	must.False(t, errors.Is(err, io.EOF))
	must.Nil(t, c.pool.get(connKey{"http", addr}))
}

func TestIdleConnectionsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pool{perHost: 1, timeout: time.Minute}
		key := connKey{"http", "127.0.0.1:1"}
		put := func() net.Conn {
			client, server := net.Pipe()
			raw := newTrackedConn(client, nil, nil)
			p.put(newClientConn(key, raw, raw))
			return server
		}
		put()
		time.Sleep(30 * time.Second)
		must.NotNil(t, p.get(key))
		pooled, surplus := put(), put()
		_, err := surplus.Read(make([]byte, 1))
		must.ErrorIs(t, err, io.EOF)
		time.Sleep(2 * time.Minute)
		_, err = pooled.Read(make([]byte, 1))
		must.ErrorIs(t, err, io.EOF)
		_, known := p.byKey.Load(key)
		must.False(t, known)
	})
}
