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

// scripted answers each request on each connection with the same bytes. close
// ends a connection after its first answer.
func scripted(t *testing.T, answer string, closes bool) (addr string, conns *atomic.Int64) {
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
					_, _ = io.WriteString(c, answer)
					if closes {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), conns
}

func post(ctx context.Context, c *Client, addr string, body io.ReadCloser, length int64) (*http.Response, error) {
	in := httptest.NewRequest("POST", "/", nil)
	return Send(c, NewRequest(ctx, in, "http", addr, body, length), nil)
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell"

// An answer must never be taken for that of another request.
func TestConnectionIsUsedAgainOnlyWhenClean(t *testing.T) {
	cases := []struct {
		name, answer string
		unread       bool
		conns        int64
	}{
		{"clean", whole, false, 1},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", false, 1},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n", false, 1},
		{"bytes after the end", whole + whole, false, 2},
		{"closing", strings.Replace(whole, "OK\r\n", "OK\r\nConnection: close\r\n", 1), false, 2},
		{"body not read", whole, true, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			addr, conns := scripted(t, tc.answer, false)
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

// A request on a connection that the server has closed while it was idle would
// count as sent although it never ran.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	addr, conns := scripted(t, whole, true)
	c := NewClient(DefaultClientConfig())
	for range 2 {
		resp, err := post(t.Context(), c, addr, nil, 0)
		must.NoError(t, err)
		Drain(resp)
		v, _ := c.pool.hosts.Load(connKey{"http", addr})
		idle := v.(*idleConns).take()
		for idle.usable() {
			continue // until the server's end has arrived
		}
		c.pool.put(idle)
	}
	must.Eq(t, 2, conns.Load())
}

func TestAnswersThatAreNone(t *testing.T) {
	for name, answer := range map[string]string{
		"upgrade":      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"interim":      strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInterim) + whole,
		"endless head": "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: "+strings.Repeat("x", 1000)+"\r\n", 1200) + "\r\n",
		"no HTTP":      "hello\r\n\r\n",
	} {
		addr, _ := scripted(t, answer, false)
		_, err := post(t.Context(), NewClient(DefaultClientConfig()), addr, nil, 0)
		var failed *SendError
		must.True(t, errors.As(err, &failed), must.Sprint(name))
		must.True(t, failed.Sent)
	}
}

// A body that ends too soon must not leave the server waiting, nor look whole.
func TestShortBodyIsNoRequest(t *testing.T) {
	addr, _ := scripted(t, whole, false)
	_, err := post(t.Context(), NewClient(DefaultClientConfig()), addr, io.NopCloser(strings.NewReader("ab")), 3)
	var failed *SendError
	must.True(t, errors.As(err, &failed))
	must.True(t, failed.Sent)
}

func TestInvalidRequestsAreNotSent(t *testing.T) {
	addr, conns := scripted(t, whole, false)
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

func TestCancellationEndsTheBody(t *testing.T) {
	addr, _ := scripted(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", false)
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

func TestIdleConnectionsGrowOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pool{perHost: 1, timeout: time.Minute}
		key := connKey{"http", "127.0.0.1:1"}
		put := func() net.Conn {
			client, server := net.Pipe()
			raw := &trackedConn{Conn: client}
			p.put(newClientConn(key, raw, raw))
			return server
		}
		put()
		time.Sleep(30 * time.Second)
		must.NotNil(t, p.get(key))
		kept, surplus := put(), put()
		_, err := surplus.Read(make([]byte, 1))
		must.ErrorIs(t, err, io.EOF)
		time.Sleep(2 * time.Minute)
		_, err = kept.Read(make([]byte, 1))
		must.ErrorIs(t, err, io.EOF)
		_, known := p.hosts.Load(key)
		must.False(t, known)
	})
}
