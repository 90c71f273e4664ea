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

// resetLinger is how long a connection is still read before it is reset.
const resetLinger = 50 * time.Millisecond

// maxDiscarded bounds what is read and discarded of a peer that doesn't stop sending, in bytes: what a
// connection's buffers hold, which it may have sent before it could receive the last response.
const maxDiscarded = 8 << 20

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

// Discard reads and discards for a time, until the peer closes the connection or has sent maxDiscarded
// bytes. It returns the number of bytes that it has read.
func (s *Sends) Discard(d time.Duration) int64 {
	n, _ := s.discard(d, maxDiscarded)
	return n
}

// discard reads up to limit bytes, and reports whether the connection has ended within d.
func (s *Sends) discard(d time.Duration, limit int64) (n int64, ended bool) {
	_ = s.Conn.SetReadDeadline(time.Now().Add(d)) // the read returns the error of a closed connection
	n, err := io.CopyN(io.Discard, s.Conn, limit)
	return n, err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Linger reads and discards until the peer closes the connection, or quiet has passed since the peer
// acknowledged everything, or the peer stops receiving or has sent maxDiscarded bytes. It is to be called once the connection is closed
// for writing: closing a socket with unread bytes resets the connection, and the peer might lose what was
// sent last. It returns the number of bytes that it has read, and whether the peer has closed the
// connection: no further bytes that could cause a reset arrive then.
func (s *Sends) Linger(quiet time.Duration) (unread int64, closed bool) {
	for {
		unacked := s.unacked
		n, ended := s.discard(quiet, maxDiscarded-unread)
		unread += n
		if ended || unread >= maxDiscarded {
			return unread, ended
		}
		if !s.Receiving() && s.unacked == unacked {
			return unread, false
		}
	}
}

// LingerBeforeReset waits until the peer has received what was sent, which a reset would discard, or stops
// receiving. Meanwhile it reads and discards: the kernel reports a reset once, and a peer that meets it in a
// write may read the regular end of a connection after it. It returns the number of bytes that it has read.
func (s *Sends) LingerBeforeReset() (unread int64) {
	unread, _ = s.Linger(resetLinger)
	return unread
}
