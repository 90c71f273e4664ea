package callers

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

func TestCallerThatHalfClosesGetsResponsesThatAreReady(t *testing.T) {
	second := make(chan struct{})
	s, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-r.Context().Done()
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer close(second)
		_, _ = io.WriteString(w, "two")
	})
	c, br := dial(t, addr)
	send(t, c, get("/1")+get("/2"))
	<-second
	eventually(t, "the second response is ready", func() bool { return responsesReady(s, 1) })
	must.NoError(t, c.(*net.TCPConn).CloseWrite())
	resp, _ := readResponse(t, br)
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	_, body := readResponse(t, br)
	must.Eq(t, "two", body)
}
