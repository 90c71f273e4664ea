package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jacinthgate/jacinthgate/transport/headpack"
)

const (
	// connBuffer is the size of a connection's buffers, in bytes.
	connBuffer = 4 << 10
	// maxResponseHead bounds a response's head, in bytes, with the interim
	// responses before it.
	maxResponseHead = 1 << 20
)

// connKey names the connections that are alike.
type connKey struct{ scheme, addr string }

// clientConn is one connection. One request uses it at a time.
type clientConn struct {
	key  connKey
	raw  *trackedConn
	conn net.Conn // raw, or TLS or packed heads over it
	// packed is conn where heads are packed, or else nil.
	packed *headpack.Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	// headLeft bounds the reading of a head; 0 is no bound.
	headLeft int64
	// idleSince is when it became idle. The pool's lock guards it.
	idleSince time.Time
	// idleLimit is how long the server keeps the connection idle, less a
	// margin; 0 when it didn't say.
	idleLimit time.Duration

	socket syscall.RawConn // nil where the connection is no socket
	quiet  bool            // what look found
	look   func(fd uintptr) bool
}

func newClientConn(key connKey, raw *trackedConn, conn net.Conn) *clientConn {
	c := &clientConn{key: key, raw: raw, conn: conn}
	c.br = bufio.NewReaderSize(headReader{c}, connBuffer)
	c.bw = bufio.NewWriterSize(conn, connBuffer)
	if s, ok := raw.Conn.(syscall.Conn); ok {
		if socket, err := s.SyscallConn(); err == nil {
			c.socket = socket
		}
	}
	c.look = c.lookAt
	return c
}

// idleMargin is taken off the idle time that a server states: a request that
// leaves just before the end may meet a closed connection.
const idleMargin = 500 * time.Millisecond

// statedIdle returns how long a server keeps an idle connection by its
// Keep-Alive header, less idleMargin; 0 when it doesn't say.
func statedIdle(h http.Header) time.Duration {
	for _, line := range h["Keep-Alive"] {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			seconds, err := strconv.ParseUint(strings.TrimSpace(value), 10, 16)
			if strings.EqualFold(name, "timeout") && err == nil {
				return max(time.Duration(seconds)*time.Second-idleMargin, time.Nanosecond)
			}
		}
	}
	return 0
}

// fresh reports whether the server still keeps the connection by its own word.
func (c *clientConn) fresh(idle, timeout time.Duration) bool {
	if c.idleLimit > 0 {
		timeout = min(timeout, c.idleLimit)
	}
	return idle < timeout
}

// usable reports whether an idle connection is still open and silent. A server
// that has closed it, or has sent what nobody asked for, makes it unusable.
func (c *clientConn) usable() bool {
	if c.leftover() {
		return false
	}
	if c.socket == nil {
		return true
	}
	c.quiet = false
	if err := c.socket.Read(c.look); err != nil {
		return false
	}
	return c.quiet
}

// leftover reports whether bytes were received that belong to no response.
func (c *clientConn) leftover() bool {
	return c.br.Buffered() > 0 || c.packed != nil && c.packed.Pending()
}

// lookAt looks for bytes or the end of the connection without waiting.
func (c *clientConn) lookAt(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.quiet = err == syscall.EAGAIN
	return true
}

func (c *clientConn) close() { _ = c.conn.Close() } // it carries nothing any more

// headReader bounds what is read while a head is read.
type headReader struct{ c *clientConn }

// Read implements io.Reader.
func (r headReader) Read(p []byte) (int, error) {
	c := r.c
	if c.headLeft == 0 {
		return c.conn.Read(p)
	}
	if c.headLeft == 1 {
		return 0, &HeadSizeError{Limit: maxResponseHead}
	}
	if int64(len(p)) > c.headLeft-1 {
		p = p[:c.headLeft-1]
	}
	n, err := c.conn.Read(p)
	c.headLeft -= int64(n)
	return n, err
}

var _ io.Reader = headReader{}
