// Package listen closes listeners without losing connections. The kernel resets
// the connections that it has completed and that nobody has accepted when a
// listener is closed; their callers have perhaps sent a request already.
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
	// quiet is how long nothing must arrive before a draining listener is closed.
	quiet = 5 * time.Millisecond
	// lastLook is the time between two looks whether connections still wait at the end of a
	// drain's time, and lastWait bounds how long those are taken.
	lastLook = time.Millisecond
	lastWait = 100 * time.Millisecond
)

// Listener is a listener that can be drained. It is safe for concurrent use.
type Listener struct {
	net.Listener
	draining atomic.Bool
	last     atomic.Bool   // the time to drain is over
	accepted atomic.Bool   // since the deadline was set
	drained  chan struct{} // closed with the listener

	closing  sync.Once
	closeErr error
	ending   atomic.Pointer[Ending]
}

// Ending tells how a drained listener was closed.
type Ending struct {
	// SinceLook is the time between the last look that found no connection waiting and the
	// close; 0 where no look did.
	SinceLook time.Duration
	// Waiting is the number of connections that waited at the close, which resets them.
	Waiting int
}

// Ending returns how the listener was closed; nil before.
func (l *Listener) Ending() *Ending { return l.ending.Load() }

// New wraps a listener.
func New(l net.Listener) *Listener { return &Listener{Listener: l, drained: make(chan struct{})} }

// deadliner is a listener whose Accept can be given a deadline.
type deadliner interface{ SetDeadline(time.Time) error }

// Accept implements net.Listener. After Drain it returns net.ErrClosed once no
// connection waits any more.
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
			return nil, err
		case (l.last.Load() || !l.accepted.Swap(false)) && !sockopt.Waiting(l.Listener):
			// The deadline alone doesn't say that nothing came: this process may have had no
			// processor meanwhile. What comes between the look and the close is reset, so that
			// nothing stands between them.
			l.close(time.Now())
			return nil, net.ErrClosed
		}
		l.arm()
	}
}

// Close implements net.Listener. Closing it again does nothing: the server that accepts from it does
// so as well.
func (l *Listener) Close() error {
	l.close(time.Time{})
	return l.closeErr
}

// close closes the listener, once, and notes what that resets. looked is when no connection was
// waiting; zero where nobody has looked.
func (l *Listener) close(looked time.Time) {
	l.closing.Do(func() {
		e := new(Ending)
		if !looked.IsZero() {
			e.SinceLook = time.Since(looked)
		}
		e.Waiting, _ = sockopt.Backlog(l.Listener) // 0 where it isn't known
		l.closeErr = l.Listener.Close()
		l.ending.Store(e)
		close(l.drained)
	})
}

// arm gives Accept its next deadline.
func (l *Listener) arm() {
	wait := quiet
	if l.last.Load() {
		wait = lastLook
	}
	if d, ok := l.Listener.(deadliner); ok {
		_ = d.SetDeadline(time.Now().Add(wait)) // Accept reports a closed listener
	}
}

// Drain lets Accept take every connection that waits and then closes the
// listener. When ctx ends it takes those that wait then: callers may go on connecting for ever.
// Somebody must go on calling Accept until it fails.
func (l *Listener) Drain(ctx context.Context) error {
	if l.Ending() != nil {
		return net.ErrClosed
	}
	if _, ok := l.Listener.(deadliner); ok && l.draining.CompareAndSwap(false, true) {
		l.arm()
		select {
		case <-l.drained:
		case <-ctx.Done():
			l.drainLast()
		}
	}
	return l.Close()
}

// drainLast waits until no connection waits, for lastWait at most.
func (l *Listener) drainLast() {
	l.last.Store(true)
	l.arm()
	t := time.NewTimer(lastWait)
	defer t.Stop()
	select {
	case <-l.drained:
	case <-t.C:
	}
}

// Error reports an address that can't be listened on.
type Error struct {
	// Name is the name of the setting.
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
