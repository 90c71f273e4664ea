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

// Guards against a reset behind the last answer where its goroutine ends after the connection's.
func TestEndOfAnAnswerDoesNotEndTheLingering(t *testing.T) {
	s, _ := startLimited(t, func() Limits { return Limits{IdleTimeout: time.Minute} },
		func(http.ResponseWriter, *http.Request) {})
	c, caller, br := accepted(t, s)
	c.ended, c.ending = true, true // the last answer was sent
	go c.finish()
	_, err := br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	time.Sleep(20 * time.Millisecond) // until it lingers
	c.armIdle(s.cfg.Limits())
	for range 3 {
		time.Sleep(10 * time.Millisecond) // one that was closed resets what comes
		send(t, caller, get("/behind"))
	}
}

// Guards against a log that blames callers which have left for what is still on its way to them.
func TestBytesOnTheirWayToACallerThatHasClosedAreNotLogged(t *testing.T) {
	out := new(lines)
	s, addr := startLimited(t, func() Limits { return Limits{IdleTimeout: time.Minute} }, answerSlowly)
	s.cfg.Logger = log.NewLogfmtLogger(log.NewSyncWriter(out))
	s.Leave()
	c, br := dial(t, addr)
	send(t, c, get("/"))
	_, err := br.Peek(1)
	must.NoError(t, err)
	must.NoError(t, c.(*net.TCPConn).CloseWrite())
	eventually(t, "the connection ends", func() bool { return open(s) == 0 })
	must.False(t, out.contains("event=bytes_unsent"))
}

// open returns the number of a server's connections.
func open(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
