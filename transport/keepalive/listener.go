package keepalive

import (
	"net"
	"sync/atomic"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// listener accepts connections through the wrappers of the configuration and tracks them.
type listener struct {
	net.Listener
	server  *Server
	wrapped net.Listener
	// newest is the connection that was accepted last. Only the goroutine that calls Accept uses it.
	newest *conn
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	outer, err := l.wrapped.Accept()
	if err != nil {
		return nil, err
	}
	l.server.add(outer, l.newest)
	return outer, nil
}

// inner returns the listener that the wrappers accept from.
func (l *listener) inner() net.Listener { return &innerListener{Listener: l.Listener, outer: l} }

// innerListener makes a conn of each accepted connection.
type innerListener struct {
	net.Listener
	outer *listener
}

// Accept implements net.Listener.
func (l *innerListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, server: l.outer.server, sends: sockopt.Sends{Conn: raw}}
	l.outer.newest = c
	return c, nil
}

// single is a listener that returns one connection. The server may close the listener at any time,
// so the connection is taken exactly once: by Accept or by Close.
type single struct{ conn atomic.Pointer[net.Conn] }

// Accept implements net.Listener.
func (l *single) Accept() (net.Conn, error) {
	c := l.conn.Swap(nil)
	if c == nil {
		return nil, net.ErrClosed
	}
	return *c, nil
}

// Close implements net.Listener. It closes the connection unless Accept returned it.
func (l *single) Close() error {
	c := l.conn.Swap(nil)
	if c == nil {
		return nil
	}
	return (*c).Close()
}

// Addr implements net.Listener.
func (l *single) Addr() net.Addr { return &net.TCPAddr{} }
