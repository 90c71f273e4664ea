package callers

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestCallerThatDisconnectsCancelsItsRequestsAheadOfAQueuedOne(t *testing.T) {
	post := "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
	for name, behind := range map[string]string{
		"a request that may not run again": post,
		"more requests than are worked on": strings.Repeat(get("/2"), 4),
	} {
		t.Run(name, func(t *testing.T) {
			begun, gone := make(chan struct{}, 8), make(chan struct{}, 8)
			_, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
				begun <- struct{}{}
				<-r.Context().Done()
				gone <- struct{}{}
			})
			c, _ := dial(t, addr)
			send(t, c, get("/1")+behind)
			<-begun
			must.NoError(t, c.Close())
			eventually(t, "the request is cancelled when its caller disconnects", func() bool { return len(gone) > 0 })
		})
	}
}
