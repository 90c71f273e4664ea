package callers

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// A goroutine that reads the body may outlive the handler, as when the body is forwarded. Guards
// against reading the next request at the same time.
func TestNextRequestIsNotReadWhileABodyIsBeingRead(t *testing.T) {
	for range 100 {
		reading, ended := make(chan struct{}), make(chan struct{})
		_, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
			go func() {
				defer close(ended)
				_, _ = r.Body.Read(make([]byte, 1))
				close(reading)
				_, _ = io.Copy(io.Discard, r.Body)
			}()
			<-reading
			panic(http.ErrAbortHandler)
		})
		c, br := dial(t, addr)
		send(t, c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\na")
		resp, _ := readResponse(t, br)
		must.True(t, resp.Close)
		must.NoError(t, c.Close())
		<-ended
	}
}
