package callers

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

func TestCallerThatClosesItsSendingSideGetsWhatIsReady(t *testing.T) {
	second := make(chan struct{})
	s, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
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
	eventually(t, "the second answer is ready", func() bool { return ready(s, 1) })
	must.NoError(t, c.(*net.TCPConn).CloseWrite())
	resp, _ := answer(t, br)
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	_, body := answer(t, br)
	must.Eq(t, "two", body)
}
