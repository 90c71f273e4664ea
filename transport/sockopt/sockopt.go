// Package sockopt sets options of TCP sockets and reads their state where package net
// has no function for it.
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

// SetUnackedTimeout bounds how long sent bytes may stay unacknowledged before the
// kernel closes the connection. With 0 the kernel's own limit of many minutes
// applies. It does nothing on connections other than TCP.
func SetUnackedTimeout(c net.Conn, d time.Duration) {
	tc, ok := c.(*net.TCPConn)
	if !ok || d < 0 {
		return
	}
	sc, err := tc.SyscallConn()
	if err != nil {
		return // the connection is closed already; its next use returns the error
	}
	_ = sc.Control(func(fd uintptr) {
		// Without the option the connection is still closed, only later.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
}

// SetResetOnClose makes a close reset a TCP connection, or end it as usual. What is unsent or
// unacknowledged at a reset is lost. The end of the process closes the connection too. It does nothing on
// connections other than TCP.
func SetResetOnClose(conn net.Conn, reset bool) {
	var linger unix.Linger
	if reset {
		linger.Onoff = 1
	}
	withDescriptor(conn, func(fd int) bool {
		return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &linger) == nil // fails only on a closed connection
	})
}

// HasUnread reports whether a connection has received bytes that were not read yet. It doesn't
// block and doesn't consume them. It returns false for a connection without a socket.
func HasUnread(conn net.Conn) bool {
	return withDescriptor(conn, func(fd int) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err == nil && n > 0
	})
}

// HasBacklog reports whether the listener's backlog holds a connection that is ready to be accepted.
// It doesn't block. It returns false for a listener without a socket.
func HasBacklog(l net.Listener) bool {
	return withDescriptor(l, func(fd int) bool {
		for {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
			n, err := unix.Poll(fds, 0)
			if !errors.Is(err, unix.EINTR) {
				return err == nil && n > 0
			}
		}
	})
}

// Backlog returns the number of connections in the listener's backlog, that is, established and not
// accepted. ok is false if it can't be read.
func Backlog(l net.Listener) (n int, ok bool) {
	withDescriptor(l, func(fd int) bool {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			n, ok = int(info.Unacked), true // for a listener, this field is the size of its backlog
		}
		return ok
	})
	return n, ok
}

// SendQueue returns the size of a connection's send queue: the bytes that were written and that its
// peer hasn't acknowledged. ok is false if it can't be read.
func SendQueue(conn net.Conn) (n int, ok bool) {
	withDescriptor(conn, func(fd int) bool {
		var err error
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		ok = err == nil
		return ok
	})
	return n, ok
}

// withDescriptor calls f with the file descriptor of a socket and returns f's result; false if there
// is no descriptor. A connection that wraps another one has to implement NetConn, like tls.Conn.
// Unlike reading and accepting, withDescriptor isn't affected by a deadline that has passed.
func withDescriptor(socket any, f func(fd int) bool) bool {
	s, ok := socket.(syscall.Conn)
	if wrapper, wraps := socket.(interface{ NetConn() net.Conn }); !ok && wraps {
		return withDescriptor(wrapper.NetConn(), f)
	}
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false // the socket is closed
	}
	result := false
	err = raw.Control(func(fd uintptr) { result = f(int(fd)) })
	return err == nil && result
}
