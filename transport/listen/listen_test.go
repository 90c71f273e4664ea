package listen

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// listenWithBacklog returns a listener with n connections in its backlog, each with bytes sent, and
// the callers' ends of them.
func listenWithBacklog(t *testing.T, n int) (*Listener, []net.Conn) {
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

// serve accepts and answers connections until Accept fails, then sends their number to done.
func serve(l net.Listener, done chan<- int) {
	served := 0
	for {
		c, err := l.Accept()
		if err != nil {
			done <- served
			return
		}
		served++
		_, _ = io.WriteString(c, "answer") // the caller's read shows a failure
		_ = c.Close()
	}
}

// Shows why Drain is needed: a plain close resets the connections in the backlog. This made
// TestShutdownCutsNothing fail now and then, since a caller's new connection was closed without a
// response while the node shut down.
func TestCloseResetsTheBacklog(t *testing.T) {
	l, callers := listenWithBacklog(t, 10)
	must.NoError(t, l.Close())
	for _, c := range callers {
		b := make([]byte, 1)
		_, err := c.Read(b)
		must.Error(t, err)
	}
}

func TestDrainServesTheBacklog(t *testing.T) {
	l, callers := listenWithBacklog(t, 50)
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

// Guards against a drain that takes a passed deadline for an empty backlog: a process that was not
// scheduled for a while finds the deadline passed and connections in the backlog.
func TestDrainAcceptsConnectionsThatArrivedDuringAStall(t *testing.T) {
	l, _ := listenWithBacklog(t, 3)
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(t.Context()) }()
	time.Sleep(4 * quietPeriod)
	done := make(chan int, 1)
	go serve(l, done)
	must.Eq(t, 3, <-done)
	must.NoError(t, <-drained)
}

func TestDrainOfAClosedListenerReturns(t *testing.T) {
	l, _ := listenWithBacklog(t, 0)
	done := make(chan int, 1)
	go serve(l, done)
	must.NoError(t, l.Close())
	must.Eq(t, 0, <-done)
	must.Error(t, l.Drain(t.Context()))
}

// busyListener is a listener at which a connection is always ready to be accepted.
type busyListener struct{ net.Listener }

// Accept implements net.Listener.
func (busyListener) Accept() (net.Conn, error) {
	a, b := net.Pipe()
	_ = b.Close() // the caller has disconnected already
	return a, nil
}

// SetDeadline makes the listener a deadliner, which Drain needs.
func (busyListener) SetDeadline(time.Time) error { return nil }

// Guards against callers that keep connecting and so delay a node's shutdown without limit.
func TestDrainEndsAfterItsContext(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l := New(busyListener{inner})
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
