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
	// maxResponseHead is the maximum size of a response's head, in bytes,
	// including the interim responses before it.
	maxResponseHead = 64 << 10
)

// connKey identifies connections that are interchangeable.
type connKey struct{ scheme, addr string }

// clientConn is a connection of a Client. It carries one request at a time.
type clientConn struct {
	key  connKey
	raw  *trackedConn
	conn net.Conn // raw, or TLS or packed heads over it
	// packed is conn if it packs heads, else nil.
	packed *headpack.Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	// headLeft is one more than the number of bytes that may still be read of a
	// head; 0 means no limit.
	headLeft int64
	// received is the number of bytes received.
	received int64
	// idleSince is when the connection became idle. The pool's lock guards it.
	idleSince time.Time
	// idleLimit is how long the server keeps the connection open while it is
	// idle, less idleMargin; 0 if the server doesn't state it.
	idleLimit time.Duration

	socket syscall.RawConn // nil if the connection is not a socket
	silent bool            // result of peek: open, with no bytes to read
	peek   func(fd uintptr) bool
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
	c.peek = c.peekSocket
	return c
}

// idleMargin is subtracted from the idle timeout that a server states: a request
// sent just before it expires may arrive after the server has closed the connection.
const idleMargin = 500 * time.Millisecond

// keepAliveTimeout returns the idle timeout of the server according to its
// Keep-Alive header, less idleMargin; 0 if the header doesn't state it.
func keepAliveTimeout(h http.Header) time.Duration {
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

// withinIdleLimit reports whether a connection that has been idle for the time
// idle is within both timeout and the idle timeout that the server has stated.
func (c *clientConn) withinIdleLimit(idle, timeout time.Duration) bool {
	if c.idleLimit > 0 {
		timeout = min(timeout, c.idleLimit)
	}
	return idle < timeout
}

// usable reports whether an idle connection is open and has nothing to read. It
// is unusable if the server has closed it or has sent unrequested bytes.
func (c *clientConn) usable() bool {
	if c.hasExcessBytes() {
		return false
	}
	if c.socket == nil {
		return true
	}
	c.silent = false
	if err := c.socket.Read(c.peek); err != nil {
		return false
	}
	return c.silent
}

// hasExcessBytes reports whether bytes were received that belong to no response.
func (c *clientConn) hasExcessBytes() bool {
	return c.br.Buffered() > 0 || c.packed != nil && c.packed.HasUnread()
}

// peekSocket checks without waiting whether there are bytes to read or the
// connection has ended, and sets silent.
func (c *clientConn) peekSocket(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.silent = err == syscall.EAGAIN
	return true
}

func (c *clientConn) close() { _ = c.conn.Close() } // the connection is no longer needed

// headReader reads from a connection and enforces headLeft.
type headReader struct{ c *clientConn }

// Read implements io.Reader.
func (r headReader) Read(p []byte) (n int, err error) {
	c := r.c
	defer func() { c.received += int64(n) }()
	if c.headLeft == 0 {
		return c.conn.Read(p)
	}
	if c.headLeft == 1 {
		return 0, &HeadSizeError{Limit: maxResponseHead}
	}
	if int64(len(p)) > c.headLeft-1 {
		p = p[:c.headLeft-1]
	}
	n, err = c.conn.Read(p)
	c.headLeft -= int64(n)
	return n, err
}

var _ io.Reader = headReader{}
