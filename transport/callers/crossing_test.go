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

// crossed is a connection on which something arrives just before it is closed.
type crossed struct {
	*net.TCPConn
	once   sync.Once
	arrive func()
}

// Close implements net.Conn.
func (c *crossed) Close() error {
	c.once.Do(c.arrive)
	return c.TCPConn.Close()
}

// CloseWrite closes the sending side.
func (c *crossed) CloseWrite() error {
	c.once.Do(c.arrive)
	return c.TCPConn.CloseWrite()
}

func TestRequestThatCrossesTheEndOfAnIdleConnectionIsLogged(t *testing.T) {
	out := new(lines)
	s, _ := startLimited(t, func() Limits { return Limits{IdleTimeout: time.Nanosecond} },
		func(http.ResponseWriter, *http.Request) { t.Error("it was closed before") })
	s.cfg.Logger = log.NewLogfmtLogger(log.NewSyncWriter(out))
	c, caller, br := accepted(t, s)
	raw, ok := c.raw.(*net.TCPConn)
	must.True(t, ok)
	c.raw = &crossed{TCPConn: raw, arrive: func() {
		send(t, caller, get("/"))
		eventually(t, "the request has arrived", func() bool { return sockopt.Pending(raw) })
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
	must.True(t, out.contains("event=bytes_unread"), must.Sprint("a request that arrived was thrown away without a trace"))
}
