package callers

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// The handler's reader may outlive it, as one that sends the body on does.
func TestNoRequestIsReadWhileABodyStillIs(t *testing.T) {
	for range 100 {
		reading, ended := make(chan struct{}), make(chan struct{})
		_, addr := start(t, func(_ http.ResponseWriter, r *http.Request) {
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
		resp, _ := answer(t, br)
		must.True(t, resp.Close)
		must.NoError(t, c.Close())
		<-ended
	}
}
