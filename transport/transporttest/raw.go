package transporttest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// ServeRaw accepts connections until l is closed. It writes the text that answer returns to each
// connection after a request, and closes it.
func ServeRaw(l net.Listener, answer func() string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer())
			}
		}()
	}
}

// ReceiveBuffer returns the Control function of a net.Dialer or net.ListenConfig that sets the size of
// the receive buffer, in bytes, before connections are made, so that their windows don't shrink.
func ReceiveBuffer(size int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size) // the default will do
		})
	}
}

// ConnPair returns both ends of a TCP connection on loopback.
func ConnPair(t *testing.T) (one, other *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	accepted, err := l.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return c.(*net.TCPConn), accepted.(*net.TCPConn)
}

// DropReceived makes the kernel drop whatever arrives on a connection, as if its path was lost.
func DropReceived(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	must.NoError(t, err)
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	must.NoError(t, raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	}))
	must.NoError(t, err)
}
