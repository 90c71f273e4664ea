package node

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// dial opens a connection and returns it with a function that asks on it.
func dial(t *testing.T, addr string) (net.Conn, func() (*http.Response, error)) {
	c, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c, func() (*http.Response, error) {
		if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
			return nil, err
		}
		return http.ReadResponse(bufio.NewReader(c), nil)
	}
}

func TestConnectionsBeyondTheBoundAreRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	set := metrics.NewSet()
	capped := newCappedListener(ln, 2, set)
	closed := make(chan struct{}, 1)
	s := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				closed <- struct{}{}
			}
		},
	}
	go func() { _ = s.Serve(capped) }() // it ends with the test
	t.Cleanup(func() { _ = s.Close() })
	first, askFirst := dial(t, ln.Addr().String())
	_, askSecond := dial(t, ln.Addr().String())
	for _, ask := range []func() (*http.Response, error){askFirst, askSecond} {
		resp, err := ask()
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
	_, askThird := dial(t, ln.Addr().String())
	resp, err := askThird()
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.Eq(t, string(outcome.NotRun), resp.Header.Get(outcome.HeaderOutcome))
	must.Eq(t, 1, capped.refused.Get())
	must.NoError(t, first.Close())
	<-closed
	_, askFourth := dial(t, ln.Addr().String())
	resp, err = askFourth()
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode)
}
