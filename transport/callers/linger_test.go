package callers

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

// Guards against a reset after the final response: the goroutine that handled its request may end
// while the connection lingers already, and must not change the deadline.
func TestEndOfAResponseDoesNotEndLingering(t *testing.T) {
	s, _ := startWithLimits(t, func() Limits { return Limits{IdleTimeout: time.Minute} },
		func(http.ResponseWriter, *http.Request) {})
	c, caller, br := acceptUnserved(t, s)
	c.finalSent, c.readStopped = true, true // the final response was sent
	go c.finish()
	_, err := br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	time.Sleep(20 * time.Millisecond) // until the connection lingers
	c.armIdle(s.cfg.Limits())
	for range 3 {
		time.Sleep(10 * time.Millisecond) // on a closed connection, the sends would be reset
		send(t, caller, get("/behind"))
	}
}

// Guards against log lines about unacknowledged bytes when the caller has closed its side: the bytes
// are still in transit.
func TestBytesInTransitToAHalfClosedCallerAreNotLogged(t *testing.T) {
	out := new(logBuffer)
	s, addr := startWithLimits(t, func() Limits { return Limits{IdleTimeout: time.Minute} }, serveLargeResponse)
	s.cfg.Logger = log.NewLogfmtLogger(log.NewSyncWriter(out))
	s.DisableKeepAlive()
	c, br := dial(t, addr)
	send(t, c, get("/"))
	_, err := br.Peek(1)
	must.NoError(t, err)
	must.NoError(t, c.(*net.TCPConn).CloseWrite())
	eventually(t, "the connection is closed", func() bool { return connectionCount(s) == 0 })
	must.False(t, out.contains("event=bytes_unsent"))
}

// connectionCount returns the number of a server's open connections.
func connectionCount(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
