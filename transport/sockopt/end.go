package sockopt

import (
	"io"
	"net"

	"golang.org/x/sys/unix"
)

// tcpClosed is TCP_CLOSE, the state of a connection that has ended in both directions.
const tcpClosed = 7

// LostError reports a connection that has failed before its peer closed it.
type LostError struct{}

// Error implements error.
func (*LostError) Error() string { return "connection lost before its peer closed it" }

// CheckedConn is a connection whose reads return io.EOF only if the peer has closed its sending direction.
//
// The kernel reports the failure of a connection once, to the call that meets it first. If that is a write,
// the read after it returns io.EOF as at a regular end.
type CheckedConn struct {
	// Conn is the connection, from which nothing was read yet. Ends of others than TCP aren't checked.
	net.Conn
	received int64 // in bytes
}

// Read implements net.Conn. Besides the errors of the connection it returns a *LostError.
func (c *CheckedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += int64(n)
	if err == io.EOF && c.isLost() {
		err = &LostError{}
	}
	return n, err
}

// isLost reports whether the connection has ended and the peer hasn't closed its sending direction.
func (c *CheckedConn) isLost() bool {
	return withDescriptor(c.Conn, func(fd int) bool {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		// A FIN that has arrived counts as one more byte.
		return err == nil && info.State == tcpClosed && info.Bytes_received == uint64(c.received)
	})
}

// NetConn returns the connection below.
func (c *CheckedConn) NetConn() net.Conn { return c.Conn }
