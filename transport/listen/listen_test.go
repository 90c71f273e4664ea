package listen

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// waiting returns a listener with connections that nobody has accepted.
func waiting(t *testing.T, n int) (*Listener, []net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l := New(inner)
	var callers []net.Conn
	for range n {
		c, err := net.Dial("tcp", inner.Addr().String())
		must.NoError(t, err)
		_, err = io.WriteString(c, "request")
		must.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		callers = append(callers, c)
	}
	return l, callers
}

// serve answers every connection until the listener ends.
func serve(l net.Listener, done chan<- int) {
	served := 0
	for {
		c, err := l.Accept()
		if err != nil {
			done <- served
			return
		}
		served++
		_, _ = io.WriteString(c, "answer") // the caller's read is what counts
		_ = c.Close()
	}
}

// This is what TestShutdownCutsNothing met now and then: a caller's new
// connection was closed without an answer as the node left.
func TestClosingLosesTheConnectionsThatWait(t *testing.T) {
	l, callers := waiting(t, 10)
	must.NoError(t, l.Close())
	for _, c := range callers {
		b := make([]byte, 1)
		_, err := c.Read(b)
		must.Error(t, err)
	}
}

func TestDrainingAnswersTheConnectionsThatWait(t *testing.T) {
	l, callers := waiting(t, 50)
	done := make(chan int, 1)
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(t.Context()) }()
	go serve(l, done)
	must.Eq(t, 50, <-done)
	must.NoError(t, <-drained)
	for _, c := range callers {
		b := make([]byte, 6)
		_, err := io.ReadFull(c, b)
		must.NoError(t, err)
		must.Eq(t, "answer", string(b))
	}
	_, err := net.Dial("tcp", l.Addr().String())
	must.Error(t, err)
}

// A process that gets no processor for a while finds its deadline passed and connections waiting.
func TestDrainingTakesConnectionsThatCameWhileTheProcessStoodStill(t *testing.T) {
	l, _ := waiting(t, 3)
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(t.Context()) }()
	time.Sleep(4 * quiet)
	done := make(chan int, 1)
	go serve(l, done)
	must.Eq(t, 3, <-done)
	must.NoError(t, <-drained)
}

func TestDrainingAClosedListenerEnds(t *testing.T) {
	l, _ := waiting(t, 0)
	done := make(chan int, 1)
	go serve(l, done)
	must.NoError(t, l.Close())
	must.Eq(t, 0, <-done)
	must.Error(t, l.Drain(t.Context()))
}

// endless is a listener at which connections never stop arriving.
type endless struct{ net.Listener }

// Accept implements net.Listener.
func (endless) Accept() (net.Conn, error) {
	a, b := net.Pipe()
	_ = b.Close() // the caller has left already
	return a, nil
}

// SetDeadline lets the listener be drained.
func (endless) SetDeadline(time.Time) error { return nil }

// Callers that never stop connecting don't hold up the end of a node.
func TestDrainingEndsWithItsContext(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l := New(endless{inner})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for ctx.Err() == nil {
			c, err := l.Accept()
			if err == nil {
				_ = c.Close()
			}
		}
	}()
	time.AfterFunc(10*time.Millisecond, cancel)
	must.NoError(t, l.Drain(ctx))
}
