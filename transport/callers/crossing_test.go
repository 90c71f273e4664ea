package callers

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// crossingConn is a connection on which bytes arrive just before it is closed: it calls arrive before
// the first Close or CloseWrite.
type crossingConn struct {
	*net.TCPConn
	once   sync.Once
	arrive func()
}

// Close implements net.Conn.
func (c *crossingConn) Close() error {
	c.once.Do(c.arrive)
	return c.TCPConn.Close()
}

// CloseWrite closes the sending side of the connection.
func (c *crossingConn) CloseWrite() error {
	c.once.Do(c.arrive)
	return c.TCPConn.CloseWrite()
}

func TestRequestThatArrivesAsAnIdleConnectionClosesIsLogged(t *testing.T) {
	out := new(logBuffer)
	s, _ := startWithLimits(t, func() Limits { return Limits{IdleTimeout: time.Nanosecond} },
		func(http.ResponseWriter, *http.Request) { t.Error("a request on a closed connection was handled") })
	s.cfg.Logger = log.NewLogfmtLogger(log.NewSyncWriter(out))
	c, caller, br := acceptUnserved(t, s)
	raw, ok := c.raw.(*net.TCPConn)
	must.True(t, ok)
	c.raw = &crossingConn{TCPConn: raw, arrive: func() {
		send(t, caller, get("/"))
		eventually(t, "the request has arrived", func() bool { return sockopt.HasUnread(raw) })
	}}
	c.head.conn = c.raw
	ended := make(chan struct{})
	go func() {
		c.serve()
		close(ended)
	}()
	_, err := http.ReadResponse(br, nil)
	must.Error(t, err)
	must.NoError(t, caller.Close())
	<-ended
	must.True(t, out.contains("event=bytes_unread"), must.Sprint("a request that arrived was discarded without a log line"))
}
