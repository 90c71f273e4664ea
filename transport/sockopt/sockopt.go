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
// and leaves them where they are.
func Pending(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n > 0
}

// Readable reports whether a socket has something to read or to accept, or has been closed
// by the other side. It doesn't wait.
func Readable(fd int) bool {
	for {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && n > 0
		}
	}
}
