package transporttest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// HeldListener accepts TCP connections whose reads are delayed, as by a goroutine that isn't
// scheduled: all but the first FreeReads reads of each connection wait for Release.
type HeldListener struct {
	net.Listener
	FreeReads int
	released  chan struct{}
}

// NewHeldListener returns a listener on loopback.
func NewHeldListener(t *testing.T, freeReads int) *HeldListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return &HeldListener{Listener: l, FreeReads: freeReads, released: make(chan struct{})}
}

// Release lets all reads go on. It must be called once.
func (l *HeldListener) Release() { close(l.released) }

// Accept implements net.Listener.
func (l *HeldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: c.(*net.TCPConn), free: l.FreeReads, released: l.released}, nil
}

// SetDeadline makes the listener one that package listen can drain.
func (l *HeldListener) SetDeadline(t time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(t)
}

// heldConn is a connection of a HeldListener.
type heldConn struct {
	*net.TCPConn
	free     int
	released chan struct{}
}

// Read implements net.Conn. Reads of one byte, by which net/http detects a closed connection while a
// handler runs, aren't delayed.
func (c *heldConn) Read(p []byte) (int, error) {
	if len(p) > 1 {
		c.free--
	}
	if len(p) > 1 && c.free < 0 {
		<-c.released
	}
	return c.TCPConn.Read(p)
}

// CheckShutdownAnswers checks that a server whose goroutines aren't scheduled answers requests that
// arrive before its shutdown: on an idle connection, and on a new one.
func CheckShutdownAnswers(t *testing.T, start func(t *testing.T, l *HeldListener) (shutdown func())) {
	t.Helper()
	for name, before := range map[string]int{"idle connection": 1, "new connection": 0} {
		t.Run(name, func(t *testing.T) {
			l := NewHeldListener(t, before)
			shutdown := start(t, l)
			c, err := net.Dial("tcp", l.Addr().String())
			must.NoError(t, err)
			defer c.Close()
			br := bufio.NewReader(c)
			for i := range before {
				must.NoError(t, exchange(c, br, i))
			}
			send(t, c, before)
			ended := make(chan struct{})
			go func() {
				shutdown()
				close(ended)
			}()
			select {
			case <-ended: // it has closed the connection
			case <-time.After(stallTime):
			}
			l.Release()
			must.NoError(t, receive(br))
			<-ended
		})
	}
}

// stallTime is how long goroutines are held. A shutdown that ends connections by what its goroutines
// have read does so in less.
const stallTime = 100 * time.Millisecond

func send(t *testing.T, c net.Conn, i int) {
	t.Helper()
	_, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	must.NoError(t, err)
}

func receive(br *bufio.Reader) error {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func exchange(c net.Conn, br *bufio.Reader, i int) error {
	if _, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i); err != nil {
		return err
	}
	return receive(br)
}
