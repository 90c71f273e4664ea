package callers

import (
	"net/http"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

func TestResponseBehindATruncatedOneIsNotLoggedAsReplaced(t *testing.T) {
	begun, broken := make(chan struct{}), make(chan struct{})
	s, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			must.NoError(t, http.NewResponseController(w).Flush())
			close(begun)
			<-broken
			panic(http.ErrAbortHandler)
		}
	})
	out := new(logBuffer)
	s.cfg.Logger = log.NewLogfmtLogger(log.NewSyncWriter(out))
	c, _ := dial(t, addr)
	send(t, c, get("/1")+get("/2"))
	<-begun
	eventually(t, "the second response is ready", func() bool { return responsesReady(s, 1) })
	close(broken)
	eventually(t, "the second request is logged", func() bool { return out.contains("path=/2 cause=behind") })
	must.False(t, out.contains("event=answer_replaced"))
}
