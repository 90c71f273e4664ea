package listen

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// watched is a listener that tells whether it was closed.
type watched struct {
	*net.TCPListener
	closed atomic.Bool
}

// Close implements net.Listener.
func (w *watched) Close() error {
	w.closed.Store(true)
	return w.TCPListener.Close()
}

// Guards against connections that arrive between the look that finds none and a close which another
// goroutine only comes to later: they are reset with their requests.
func TestNothingRunsBetweenTheLookAndTheClose(t *testing.T) {
	for range 20 {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		w := &watched{TCPListener: inner.(*net.TCPListener)}
		l := New(w)
		drained := make(chan error, 1)
		go func() { drained <- l.Drain(t.Context()) }()
		_, err = l.Accept()
		must.ErrorIs(t, err, net.ErrClosed)
		must.True(t, w.closed.Load(), must.Sprint("nobody accepts any more, and the listener is open"))
		must.NoError(t, <-drained)
	}
}

// Guards against a shutdown that reports a failure since the listener was closed twice.
func TestClosingADrainedListenerAgainIsNoFailure(t *testing.T) {
	l, _ := waiting(t, 0)
	done := make(chan int, 1)
	go serve(l, done)
	must.NoError(t, l.Drain(t.Context()))
	must.NoError(t, l.Close())
	<-done
}
