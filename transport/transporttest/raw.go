package transporttest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
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
