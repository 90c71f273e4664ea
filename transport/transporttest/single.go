// Package transporttest has helpers for the tests of several transport packages.
package transporttest

import "net"

// singleListener is a listener with one connection.
type singleListener struct{ conn net.Conn }

// SingleListener returns a listener whose Accept returns conn once and net.ErrClosed after that.
func SingleListener(conn net.Conn) net.Listener { return &singleListener{conn} }

// Accept implements net.Listener.
func (l *singleListener) Accept() (net.Conn, error) {
	c := l.conn
	l.conn = nil
	if c == nil {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (l *singleListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{} }
