// Package sockopt does with TCP sockets what package net doesn't offer.
package sockopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is TCP_USER_TIMEOUT on Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// SetUnackedTimeout bounds how long bytes that were sent may stay unacknowledged
// before the connection ends; the kernel's own limit is many minutes. 0 leaves it
// so. On other connections than TCP it does nothing.
func SetUnackedTimeout(c net.Conn, d time.Duration) {
	tc, ok := c.(*net.TCPConn)
	if !ok || d <= 0 {
		return
	}
	sc, err := tc.SyscallConn()
	if err != nil {
		return // the connection is closed already; its next use reports it
	}
	_ = sc.Control(func(fd uintptr) {
		// Without it the connection still ends, only later.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
}

// Pending reports whether a connection has received bytes that were not read. It doesn't wait
// and leaves them where they are. False also where it has no socket.
func Pending(conn net.Conn) bool {
	return look(conn, func(fd int) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err == nil && n > 0
	})
}

// Waiting reports whether the kernel holds a connection that nobody has accepted. It doesn't
// wait. False also where the listener has no socket.
func Waiting(l net.Listener) bool {
	return look(l, func(fd int) bool {
		for {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
			n, err := unix.Poll(fds, 0)
			if !errors.Is(err, unix.EINTR) {
				return err == nil && n > 0
			}
		}
	})
}

// Backlog returns how many connections the kernel holds that nobody has accepted. ok is false where
// that isn't known.
func Backlog(l net.Listener) (n int, ok bool) {
	look(l, func(fd int) bool {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			n, ok = int(info.Unacked), true // a listener's queue stands in this field
		}
		return ok
	})
	return n, ok
}

// Unsent returns how many bytes were written to a connection that its other end hasn't
// acknowledged. ok is false where that isn't known.
func Unsent(conn net.Conn) (n int, ok bool) {
	look(conn, func(fd int) bool {
		var err error
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		ok = err == nil
		return ok
	})
	return n, ok
}

// look calls f with the descriptor of a socket. Unlike reading and accepting it heeds no
// deadline.
func look(socket any, f func(fd int) bool) bool {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false // it is closed
	}
	found := false
	err = raw.Control(func(fd uintptr) { found = f(int(fd)) })
	return err == nil && found
}
