package sockopt

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// StallTimeout is how long a connection's send queue may stay at one size above 0 before the peer is
// considered gone.
const StallTimeout = 2 * time.Second

// Sends observes whether a connection's peer receives what was sent to it. It is not safe for concurrent
// use.
type Sends struct {
	Conn net.Conn

	unacked int // size of the send queue at the last check, in bytes
	since   time.Time
}

// Receiving reports whether the peer is still receiving, that is, whether the send queue has changed
// within StallTimeout and isn't empty. Closing such a connection could reset it and lose the rest.
func (s *Sends) Receiving() bool {
	unacked, _ := SendQueue(s.Conn) // 0 if unknown
	if unacked != s.unacked {
		s.unacked, s.since = unacked, time.Now()
	}
	return unacked > 0 && time.Since(s.since) < StallTimeout
}

// Linger reads and discards until the peer closes the connection, or quiet has passed since the peer
// acknowledged everything, or the peer stops receiving. It is to be called once the connection is closed
// for writing: closing a socket with unread bytes resets the connection, and the peer might lose what was
// sent last. It returns the number of bytes that it has read, and whether the peer has closed the
// connection: no further bytes that could cause a reset arrive then.
func (s *Sends) Linger(quiet time.Duration) (unread int64, closed bool) {
	for {
		unacked := s.unacked
		_ = s.Conn.SetReadDeadline(time.Now().Add(quiet)) // the read returns the error of a closed connection
		n, err := io.Copy(io.Discard, s.Conn)
		unread += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return unread, true
		}
		if !s.Receiving() && s.unacked == unacked {
			return unread, false
		}
	}
}
