package callers

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

func TestHeadersSetAfterAFlushAreNotSent(t *testing.T) {
	flushed := make(chan struct{})
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-flushed
			return
		}
		must.NoError(t, http.NewResponseController(w).Flush())
		w.Header().Set("Late", "1")
		close(flushed)
	})
	c, br := dial(t, addr)
	send(t, c, get("/1")+get("/2"))
	_, _ = readResponse(t, br)
	resp, _ := readResponse(t, br)
	must.Eq(t, "", resp.Header.Get("Late"))
}
