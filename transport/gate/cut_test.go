package gate

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// An entry node that still sends the request body must notice that the response was
// truncated.
func TestBrokenAnswerEndsItsConnectionWhileTheBodyIsBeingSent(t *testing.T) {
	g := newGate(t, 0, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, len("begin")))
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
			_ = c.Close()
		}
	})
	synctest.Test(t, func(t *testing.T) {
		entry, accepted := net.Pipe()
		defer entry.Close()
		_ = (&http.Server{Handler: g}).Serve(transporttest.SingleListener(accepted))
		ended := false
		go func() {
			_, _ = io.Copy(io.Discard, entry)
			ended = true
		}()
		_, err := io.WriteString(entry, "POST /x HTTP/1.1\r\nHost: h\r\nJacinthgate-Service: rooms\r\n"+
			"Jacinthgate-Kind: interactive\r\nJacinthgate-Deadline: 5000\r\nContent-Length: 100000\r\n\r\nbegin")
		must.NoError(t, err)
		synctest.Wait()
		must.True(t, ended)
	})
}
