package sockopt

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// unackedMillis returns the timeout for unacknowledged bytes of a connection, as the kernel tells it.
func unackedMillis(t *testing.T, c net.Conn) (ms int) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(fd uintptr) {
		ms, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}))
	must.NoError(t, err)
	return ms
}

func TestUnackedTimeoutIsSet(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = ln.Close() }()
	for want, d := range map[int]time.Duration{400: 400 * time.Millisecond, 0: 0} {
		c, err := net.Dial("tcp", ln.Addr().String())
		must.NoError(t, err)
		SetUnackedTimeout(c, d)
		must.Eq(t, want, unackedMillis(t, c))
		must.NoError(t, c.Close())
	}
}

func TestUnreadBytesAndBacklogAreDetected(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = ln.Close() }()
	must.False(t, HasBacklog(ln))
	caller, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	defer func() { _ = caller.Close() }()
	must.True(t, HasBacklog(ln))
	conn, err := ln.Accept()
	must.NoError(t, err)
	must.False(t, HasBacklog(ln))
	must.False(t, HasUnread(conn))
	_, err = caller.Write([]byte("x"))
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Unix(1, 0))) // HasUnread must ignore a passed deadline
	must.True(t, HasUnread(conn))
	must.NoError(t, conn.Close())
	must.False(t, HasUnread(conn))
	a, b := net.Pipe()
	must.False(t, HasUnread(a))
	must.NoError(t, a.Close())
	must.NoError(t, b.Close())
}

func TestBacklogAndSendQueueAreMeasured(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = ln.Close() }()
	for range 2 {
		caller, err := net.Dial("tcp", ln.Addr().String())
		must.NoError(t, err)
		defer func() { _ = caller.Close() }()
	}
	n, ok := Backlog(ln)
	must.True(t, ok)
	must.Eq(t, 2, n)
	conn, err := ln.Accept()
	must.NoError(t, err)
	n, ok = SendQueue(conn)
	must.True(t, ok)
	must.Eq(t, 0, n)
	must.NoError(t, conn.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = conn.Write(make([]byte, 64<<20)) // more than the kernel buffers while the peer reads nothing
	must.Error(t, err)
	n, ok = SendQueue(conn)
	must.True(t, ok)
	must.Positive(t, n)
	a, b := net.Pipe()
	_, ok = SendQueue(a)
	must.False(t, ok)
	must.NoError(t, a.Close())
	must.NoError(t, b.Close())
}
