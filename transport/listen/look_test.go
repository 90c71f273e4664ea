package listen

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// recordingListener is a listener that records whether it was closed.
type recordingListener struct {
	*net.TCPListener
	closed atomic.Bool
}

// Close implements net.Listener.
func (r *recordingListener) Close() error {
	r.closed.Store(true)
	return r.TCPListener.Close()
}

// Guards against a close by another goroutine some time after the check that found the backlog
// empty: connections that arrive between the two are reset, and their requests are lost.
func TestListenerClosesRightAfterTheBacklogCheck(t *testing.T) {
	for range 20 {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		recording := &recordingListener{TCPListener: inner.(*net.TCPListener)}
		l := New(recording)
		drained := make(chan error, 1)
		go func() { drained <- l.Drain(t.Context()) }()
		_, err = l.Accept()
		must.ErrorIs(t, err, net.ErrClosed)
		must.True(t, recording.closed.Load(), must.Sprint("Accept has returned its final error, and the listener is still open"))
		must.NoError(t, <-drained)
	}
}

// Guards against a shutdown that returns an error because the listener was closed twice.
func TestClosingADrainedListenerAgainIsNoFailure(t *testing.T) {
	l, _ := listenWithBacklog(t, 0)
	done := make(chan int, 1)
	go serve(l, done)
	must.NoError(t, l.Drain(t.Context()))
	must.NoError(t, l.Close())
	<-done
}
