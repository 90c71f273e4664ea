package tcp

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/transport/peer"
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
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a lack of file descriptors that passes for the end of the transport.
func TestFailedAcceptDoesNotCloseTheTransport(t *testing.T) {
	a, b := listen(t), listen(t)
	b.listener = &failingListener{b.listener, 1}
	_, err := b.Accept(t.Context())
	must.True(t, errors.As(err, new(*peer.AcceptError)))
	must.ErrorIs(t, err, syscall.EMFILE)
	_, err = a.Dial(t.Context(), b.Addr())
	must.NoError(t, err)
	_, err = b.Accept(t.Context())
	must.NoError(t, err)
}
