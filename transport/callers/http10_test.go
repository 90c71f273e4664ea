package callers

import (
	"net/http"
	"testing"

	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// Guards against a truncated response that an HTTP/1.0 caller takes for a whole one, since its end is
// the connection's end.
func TestTruncatedResponseOfHTTP10EndsWithAReset(t *testing.T) {
	transporttest.CheckHTTP10(t, func(t *testing.T, h http.HandlerFunc) (string, func()) {
		s, addr := startServer(t, h)
		return addr, func() { _ = s.Close() }
	})
}
