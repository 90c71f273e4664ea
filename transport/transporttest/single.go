// Package transporttest has what tests of several transports need.
package transporttest

import "net"

// single is a listener with one connection.
type single struct{ conn net.Conn }

// SingleListener returns a listener that accepts one connection and is closed then.
func SingleListener(conn net.Conn) net.Listener { return &single{conn} }

// Accept implements net.Listener.
func (l *single) Accept() (net.Conn, error) {
	c := l.conn
	l.conn = nil
	if c == nil {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (l *single) Close() error { return nil }

// Addr implements net.Listener.
func (l *single) Addr() net.Addr { return &net.TCPAddr{} }
