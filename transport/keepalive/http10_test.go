package keepalive

import (
	"net/http"
	"testing"

	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// Guards against a truncated response that an HTTP/1.0 caller takes for a whole one, since its end is
// the connection's end.
func TestTruncatedResponseOfHTTP10EndsWithAReset(t *testing.T) {
	transporttest.CheckHTTP10(t, func(t *testing.T, h http.HandlerFunc) (string, func()) {
		l := listenLocal(t)
		s := start(t, l, &http.Server{Handler: h}, Config{})
		return l.Addr().String(), func() { _ = s.Close() }
	})
}
