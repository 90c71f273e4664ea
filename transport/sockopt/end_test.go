package sockopt

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// awaitClosed waits until the kernel has ended a connection.
func awaitClosed(t *testing.T, c *net.TCPConn) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if withDescriptor(c, func(fd int) bool {
			info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
			return err == nil && info.State == tcpClosed
		}) {
			return
		}
	}
	t.Fatal("the connection is still open")
}

// Guards against a failure that passes for the peer's end, whichever call the kernel reports it to.
func TestEndIsReadOnlyIfThePeerHasClosedItsSendingDirection(t *testing.T) {
	reset := func(t *testing.T, _, peer *net.TCPConn) {
		must.NoError(t, peer.SetLinger(0))
		must.NoError(t, peer.Close())
	}
	keepAlive := func(t *testing.T, own, peer *net.TCPConn) {
		transporttest.DropReceived(t, peer)
		must.NoError(t, own.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1}))
	}
	unacked := func(t *testing.T, own, peer *net.TCPConn) {
		transporttest.DropReceived(t, peer)
		SetUnackedTimeout(own, testTimeout)
		_, err := io.WriteString(own, "x")
		must.NoError(t, err)
	}
	closeFirst := func(then func(t *testing.T, own, peer *net.TCPConn)) func(t *testing.T, own, peer *net.TCPConn) {
		return func(t *testing.T, own, peer *net.TCPConn) {
			must.NoError(t, peer.CloseWrite())
			then(t, own, peer)
		}
	}
	ends := map[string]struct {
		end  func(t *testing.T, own, peer *net.TCPConn)
		lost bool
	}{
		"reset":                  {reset, true},
		"keep-alive":             {keepAlive, true},
		"unacknowledged":         {unacked, true},
		"closed, reset":          {closeFirst(reset), false},
		"closed, unacknowledged": {closeFirst(unacked), false},
		"closed, bytes arrive later": {func(t *testing.T, own, peer *net.TCPConn) {
			must.NoError(t, peer.Close())
			_, err := io.WriteString(own, "x")
			must.NoError(t, err)
		}, false},
	}
	meet := map[string]func(own *net.TCPConn){
		"nobody": func(*net.TCPConn) {},
		"write":  func(own *net.TCPConn) { _, _ = io.WriteString(own, "x") }, // returns the error
		"look": func(own *net.TCPConn) {
			withDescriptor(own, func(fd int) bool {
				_, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR) // returns the error and clears it
				return err == nil
			})
		},
	}
	for how, end := range ends {
		for who, meets := range meet {
			t.Run(how+", met by "+who, func(t *testing.T) {
				t.Parallel()
				own, peer := transporttest.ConnPair(t)
				_, err := io.WriteString(peer, "part")
				must.NoError(t, err)
				end.end(t, own, peer)
				awaitClosed(t, own)
				meets(own)
				got, err := io.ReadAll(&CheckedConn{Conn: own})
				must.Eq(t, "part", string(got))
				must.Eq(t, end.lost, err != nil, must.Sprint(err))
				var lost *LostError
				must.Eq(t, end.lost && who != "nobody", errors.As(err, &lost), must.Sprint(err))
			})
		}
	}
}

// The end of a connection other than TCP is read as it is.
func TestEndOfAPipeIsRead(t *testing.T) {
	own, peer := net.Pipe()
	must.NoError(t, peer.Close())
	_, err := io.ReadAll(&CheckedConn{Conn: own})
	must.NoError(t, err)
}
