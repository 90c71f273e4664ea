package backend

import (
	"net"
	"sync"
)

// LimitListener accepts at most n connections at one time; one more waits in
// the kernel's backlog until another is closed.
func LimitListener(l net.Listener, n int) net.Listener {
	return &limitListener{Listener: l, places: make(chan struct{}, n), closed: make(chan struct{})}
}

type limitListener struct {
	net.Listener
	places chan struct{}
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.places }}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
