package listen

import (
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// failingListener fails to accept the given number of times.
type failingListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, syscall.ENOBUFS
	}
	return l.Listener.Accept()
}

// Guards against a server of net/http, and with it a node, that ends when the kernel has no buffers left.
func TestServerOutlastsAcceptsThatFail(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: http.NotFoundHandler()}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(New(&failingListener{inner, 3})) }()
	resp, err := http.Get("http://" + inner.Addr().String())
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.NoError(t, server.Close())
	must.ErrorIs(t, <-ended, http.ErrServerClosed)
}
