package sockopt

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// lostProbes is the number of unanswered window probes from which on the path counts as lost:
// one lost packet must not end a connection.
const lostProbes = 2

// ClosedWindow tells a peer that doesn't read for a while, and whose receive window is full, from a
// path that has fallen silent. The kernel's timeout for unacknowledged bytes, see SetUnackedTimeout,
// ends connections of both kinds. ClosedWindow suspends it while the peer answers window probes. It is
// not safe for concurrent use.
type ClosedWindow struct {
	// Conn is the connection, and Timeout is its timeout for unacknowledged bytes.
	Conn    net.Conn
	Timeout time.Duration

	suspended bool
	// unanswered is since when window probes have been unanswered; zero if none are.
	unanswered time.Time
}

// Check reads the connection's state and suspends or resumes the kernel's timeout. It has to be called
// while bytes are sent, several times within Timeout. It reports whether the path has fallen silent
// while the timeout was suspended: the connection is then of no use.
func (w *ClosedWindow) Check(now time.Time) (silent bool) {
	var info *unix.TCPInfo
	withDescriptor(w.Conn, func(fd int) bool {
		var err error
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err == nil
	})
	if info == nil {
		return false // the connection has ended
	}
	return w.judge(now, isClosed(info), int(info.Probes))
}

// isClosed reports whether bytes wait although none are in flight.
func isClosed(info *unix.TCPInfo) bool { return info.Unacked == 0 && info.Notsent_bytes > 0 }

// judge decides by whether the window is closed and how many window probes are unanswered.
func (w *ClosedWindow) judge(now time.Time, closed bool, probes int) (silent bool) {
	if !closed {
		w.Resume()
		return false
	}
	if !w.suspended {
		w.suspended = true
		SetUnackedTimeout(w.Conn, 0)
	}
	switch {
	case probes == 0:
		w.unanswered = time.Time{}
	case w.unanswered.IsZero():
		w.unanswered = now
	default:
		return probes >= lostProbes && now.Sub(w.unanswered) >= w.Timeout
	}
	return false
}

// Resume lets the kernel's timeout apply again.
func (w *ClosedWindow) Resume() {
	w.unanswered = time.Time{}
	if w.suspended {
		w.suspended = false
		SetUnackedTimeout(w.Conn, w.Timeout)
	}
}
