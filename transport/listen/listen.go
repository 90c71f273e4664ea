// Package listen closes listeners without losing connections. When a listener is
// closed, the kernel resets all connections in its backlog, that is, those that
// are established and not accepted yet. Their callers may have sent requests
// already.
package listen

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

const (
	// quietPeriod is how long no connection may arrive before a draining listener is closed.
	quietPeriod = 5 * time.Millisecond
	// finalCheckInterval is the interval between two checks of the backlog after a drain's
	// context has ended, and finalDrainTimeout bounds how long connections are accepted then.
	finalCheckInterval = time.Millisecond
	finalDrainTimeout  = 100 * time.Millisecond
)

// Listener is a listener that can be drained: before it closes, the connections in its backlog are
// accepted. It is safe for concurrent use.
type Listener struct {
	net.Listener
	draining atomic.Bool
	expired  atomic.Bool   // the drain's context has ended
	accepted atomic.Bool   // a connection was accepted since the deadline was set
	drained  chan struct{} // closed with the listener

	closing    sync.Once
	closeErr   error
	closeState atomic.Pointer[CloseState]
}

// CloseState describes the state in which a listener was closed.
type CloseState struct {
	// SinceEmpty is the time between the check that found the backlog empty and the close;
	// 0 if the listener was closed without such a check.
	SinceEmpty time.Duration
	// Backlog is the size of the backlog at the close, which resets these connections.
	Backlog int
}

// CloseState returns the state in which the listener was closed; nil if it is open.
func (l *Listener) CloseState() *CloseState { return l.closeState.Load() }

// New returns a Listener that wraps l.
func New(l net.Listener) *Listener { return &Listener{Listener: l, drained: make(chan struct{})} }

// deadliner is a listener that supports a deadline for Accept.
type deadliner interface{ SetDeadline(time.Time) error }

// AcceptError reports a connection that could not be accepted, such as for want of file descriptors
// or buffers. The listener is still open. It implements net.Error, so that servers of net/http accept
// again after a pause.
type AcceptError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *AcceptError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *AcceptError) Unwrap() error { return e.Err }

// Timeout implements net.Error.
func (e *AcceptError) Timeout() bool { return false }

// Temporary implements net.Error.
func (e *AcceptError) Temporary() bool { return true }

// Accept implements net.Listener. The error is an *AcceptError or wraps net.ErrClosed. While the
// listener is drained, it returns connections until the backlog is empty, then closes the listener
// and returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.accepted.Store(true)
			return c, nil
		case errors.Is(err, net.ErrClosed):
			l.close(time.Time{})
			return nil, err
		case !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, &AcceptError{Err: err}
		case (l.expired.Load() || !l.accepted.Swap(false)) && !sockopt.HasBacklog(l.Listener):
			// The deadline alone doesn't prove that no connection has arrived: this process may
			// not have been scheduled. Connections that arrive between the check and the close
			// are reset, so the close follows at once, on the same goroutine.
			l.close(time.Now())
			return nil, net.ErrClosed
		}
		l.arm()
	}
}

// Close implements net.Listener. Further calls return the result of the first one, since the server
// that accepts from the listener closes it as well.
func (l *Listener) Close() error {
	l.close(time.Time{})
	return l.closeErr
}

// close closes the listener, once, and records the CloseState. emptyAt is when a check found the backlog
// empty; zero if there was no such check.
func (l *Listener) close(emptyAt time.Time) {
	l.closing.Do(func() {
		e := new(CloseState)
		if !emptyAt.IsZero() {
			e.SinceEmpty = time.Since(emptyAt)
		}
		e.Backlog, _ = sockopt.Backlog(l.Listener) // 0 if unknown
		l.closeErr = l.Listener.Close()
		l.closeState.Store(e)
		close(l.drained)
	})
}

// arm sets the next deadline of Accept.
func (l *Listener) arm() {
	wait := quietPeriod
	if l.expired.Load() {
		wait = finalCheckInterval
	}
	if d, ok := l.Listener.(deadliner); ok {
		_ = d.SetDeadline(time.Now().Add(wait)) // Accept returns the error of a closed listener
	}
}

// Drain waits until Accept has returned all connections in the backlog and none arrive for
// quietPeriod, and closes the listener. Since callers may keep connecting, it waits only for an empty
// backlog once ctx has ended, for finalDrainTimeout at most. The server must call Accept until it
// returns an error. Drain returns net.ErrClosed if the listener is closed already.
func (l *Listener) Drain(ctx context.Context) error {
	if l.CloseState() != nil {
		return net.ErrClosed
	}
	if _, ok := l.Listener.(deadliner); ok && l.draining.CompareAndSwap(false, true) {
		l.arm()
		select {
		case <-l.drained:
		case <-ctx.Done():
			l.finishDrain()
		}
	}
	return l.Close()
}

// finishDrain waits until the backlog is empty, for finalDrainTimeout at most.
func (l *Listener) finishDrain() {
	l.expired.Store(true)
	l.arm()
	t := time.NewTimer(finalDrainTimeout)
	defer t.Stop()
	select {
	case <-l.drained:
	case <-t.C:
	}
}

// Error is returned for a configured address that can't be listened on.
type Error struct {
	// Name is the name of the setting under "listen".
	Name string
	// Addr is the address.
	Addr string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return "listen." + e.Name + " " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
