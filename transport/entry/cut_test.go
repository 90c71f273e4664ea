package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// breakAfter answers in place of a gate: it reads a part of the body and breaks its answer off.
func breakAfter(w http.ResponseWriter, r *http.Request, read int) {
	_, _ = io.ReadFull(r.Body, make([]byte, read))
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+outcome.HeaderOutcome+": answered\r\nContent-Length: 9\r\n\r\npart")
		_ = c.Close()
	}
}

// A caller that still sends its body must be told that its answer broke off.
func TestBrokenAnswerEndsItsConnectionWhileTheBodyIsBeingSent(t *testing.T) {
	begin := strings.Repeat("x", forward.FingerprintBytes+1)
	b := newBed()
	b.cfg.MaxReplayBody = 1 // larger bodies are passed on as they come
	b.start(t)
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { breakAfter(w, r, len(begin)) }))
	defer gate.Close()
	b.gateURL = gate.URL
	b.serveBy("host-1")
	synctest.Test(t, func(t *testing.T) {
		caller, accepted := net.Pipe()
		defer caller.Close()
		_ = newServer(b.proxy).Serve(newOneListener(&callerConn{Conn: accepted}))
		ended := false
		go func() {
			_, _ = io.Copy(io.Discard, caller)
			ended = true
		}()
		_, err := io.WriteString(caller, "POST /x HTTP/1.1\r\nHost: "+testHost+"\r\nContent-Length: 200000\r\n\r\n"+begin)
		must.NoError(t, err)
		synctest.Wait()
		must.True(t, ended)
	})
}

// What a caller has sent behind an answer that broke off is lost with its connection, but no
// backend server has run it.
func TestRequestsBehindABrokenAnswerAreNotPassedOn(t *testing.T) {
	b := newBed().start(t)
	asked := make(chan string, 2)
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Path
		breakAfter(w, r, 0)
	}))
	defer gate.Close()
	b.gateURL = gate.URL
	b.serveBy("host-1")
	caller, err := net.Dial("tcp", b.url[len("http://"):])
	must.NoError(t, err)
	defer caller.Close()
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: " + testHost + "\r\n\r\n" }
	_, err = io.WriteString(caller, get("/first")+get("/behind"))
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, caller) // it ends in one way or another
	must.Eq(t, "/first", <-asked)
	must.Eq(t, 0, len(asked))
}
