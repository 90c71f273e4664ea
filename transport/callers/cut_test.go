package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

// getWithID returns the text of a GET request with a request ID.
func getWithID(id, path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n\r\n"
}

func TestLogNamesTheRequestWhoseResponseBrokeTheConnection(t *testing.T) {
	begun, broken := make(chan struct{}), make(chan struct{})
	s, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ahead" {
			must.NoError(t, http.NewResponseController(w).Flush())
			close(begun)
			<-broken
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Length", "0")
	})
	out := new(logBuffer)
	s.cfg.Logger = log.NewLogfmtLogger(log.NewSyncWriter(out))
	behind := s.cfg.Metrics.GetOrCreateCounter(`jacinthgate_callers_cut_total{cause="behind"}`)
	c, _ := dial(t, addr)
	send(t, c, getWithID("id-1", "/ahead")+getWithID("id-2", "/ready"))
	<-begun
	eventually(t, "the second response is ready", func() bool { return responsesReady(s, 1) })
	close(broken)
	eventually(t, "both requests are logged", func() bool {
		return out.contains("request=id-1 path=/ahead cause=broken") && out.contains("ahead=0 ready=false begun=true broken_by=id-1") &&
			out.contains("request=id-2 path=/ready cause=behind") && out.contains("ahead=1 ready=true begun=false broken_by=id-1")
	})
	must.Eq(t, 1, behind.Get())
}

// responsesReady reports whether the handlers of exactly n pending requests have returned.
func responsesReady(s *Server, n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := 0
	for c := range s.conns {
		c.mu.Lock()
		for _, x := range c.pending {
			if x.ready.Load() {
				found++
			}
		}
		c.mu.Unlock()
	}
	return found == n
}

// resetConn is a connection that its caller has reset: each write fails.
type resetConn struct{ net.Conn }

// Write implements net.Conn.
func (resetConn) Write([]byte) (int, error) {
	return 0, &net.OpError{Op: "write", Err: syscall.ECONNRESET}
}

// Guards against a log that attributes to the node a response that failed because its caller had
// closed the connection.
func TestResponseToADisconnectedCallerIsNotLoggedAsCut(t *testing.T) {
	s, _ := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	out := new(logBuffer)
	s.cfg.Logger = log.NewLogfmtLogger(log.NewSyncWriter(out))
	c, caller, _ := acceptUnserved(t, s)
	c.bw = bufio.NewWriter(resetConn{c.raw})
	send(t, caller, get("/"))
	c.serve()
	must.Eq(t, 1, s.cfg.Metrics.GetOrCreateCounter(`jacinthgate_callers_cut_total{cause="caller-left"}`).Get())
	must.False(t, out.contains("event=request_cut"))
}
