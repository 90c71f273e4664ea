package headpack

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
)

// Frame kinds: the first byte of a frame.
const (
	frameRaw  = 1 // unchanged bytes
	frameHead = 2 // a head encoded as an HPACK block
)

// minPlainByte is the lowest first byte of a plain connection, and of a head.
// Frame kinds are lower.
const minPlainByte = 'A'

const (
	// readBuffer is the size of the read buffer, in bytes. The largest frame of a
	// head fits in it.
	readBuffer = 8 << 10
	// maxBlock bounds the HPACK block of a head, in bytes.
	maxBlock = readBuffer - 1 - binary.MaxVarintLen64
	// maxPacked is the size of the largest head that is packed, in bytes. It keeps
	// blocks below maxBlock, as HPACK adds at most a few bytes to a field.
	maxPacked = 4 << 10
	// maxCopiedBody is the size, in bytes, up to which the payload of a raw frame
	// is copied behind the frame's header, so that one write sends both.
	maxCopiedBody = 8 << 10
)

// Conn is a connection that packs the heads written to it and unpacks those that
// it receives. One goroutine may read while another one writes.
type Conn struct {
	net.Conn

	r            *bufio.Reader
	peerDetected bool // the first byte has been received: plain is set
	plain        bool // the peer doesn't pack
	decoder      *decoder
	head         []byte // the part of a decoded head that is still unread
	rawRemaining uint64 // unread bytes of the current raw frame

	mu         sync.Mutex // guards the fields below
	packWrites bool       // written bytes are packed
	encoder    *encoder
	out        []byte
}

// Client wraps a connection that this node has opened to another node. It packs
// from the first byte on.
func Client(c net.Conn) *Conn {
	return &Conn{Conn: c, r: bufio.NewReaderSize(c, readBuffer), packWrites: true}
}

// Server wraps an accepted connection. It packs once the first byte received shows
// that the client packs.
func Server(c net.Conn) *Conn { return &Conn{Conn: c, r: bufio.NewReaderSize(c, readBuffer)} }

// HasUnread reports whether received bytes are still unread.
func (c *Conn) HasUnread() bool { return len(c.head) > 0 || c.rawRemaining > 0 || c.r.Buffered() > 0 }

// Read implements net.Conn. Besides the errors of the underlying connection it
// returns a *FrameError for an invalid frame, and io.ErrUnexpectedEOF if the
// connection ends within a frame. Reading can go on after a deadline has expired.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.read(p)
	if err == io.EOF && c.HasUnread() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (c *Conn) read(p []byte) (int, error) {
	if !c.peerDetected {
		if err := c.detectPeer(); err != nil {
			return 0, err
		}
	}
	if c.plain {
		return c.r.Read(p)
	}
	for len(c.head) == 0 && c.rawRemaining == 0 {
		if err := c.nextFrame(); err != nil {
			return 0, err
		}
	}
	if len(c.head) > 0 {
		n := copy(p, c.head)
		c.head = c.head[n:]
		return n, nil
	}
	if uint64(len(p)) > c.rawRemaining {
		p = p[:c.rawRemaining]
	}
	n, err := c.r.Read(p)
	c.rawRemaining -= uint64(n)
	return n, err
}

// detectPeer waits for the first byte and derives from it whether the peer packs.
func (c *Conn) detectPeer() error {
	first, err := c.r.Peek(1)
	if err != nil {
		return err
	}
	c.peerDetected = true
	c.plain = first[0] >= minPlainByte
	if !c.plain {
		c.decoder = newDecoder()
		c.mu.Lock()
		c.packWrites = true
		c.mu.Unlock()
	}
	return nil
}

// nextFrame reads the header of the next frame, and for a head its payload too. It
// removes nothing from the buffer before all of this has arrived, so that a read
// interrupted by a deadline can be repeated.
func (c *Conn) nextFrame() error {
	kind, length, start, err := c.peekFrame()
	if err != nil {
		return err
	}
	if length == 0 {
		return &FrameError{What: "empty frame"}
	}
	switch kind {
	case frameRaw:
		c.discard(start)
		c.rawRemaining = length
		return nil
	case frameHead:
		if length > maxBlock {
			return lengthError(length)
		}
		frame, err := c.r.Peek(start + int(length))
		if err != nil {
			return err
		}
		c.head, err = c.decoder.decode(frame[start:])
		c.discard(len(frame))
		return err
	default:
		return &FrameError{What: "unknown frame kind"}
	}
}

// peekFrame returns the next frame's kind, the length of its payload in bytes and
// the payload's offset in the buffer, and removes nothing from the buffer.
func (c *Conn) peekFrame() (kind byte, length uint64, start int, err error) {
	for size := 2; size <= 1+binary.MaxVarintLen64; size++ {
		b, err := c.r.Peek(size)
		if err != nil {
			return 0, 0, 0, err
		}
		n, used := binary.Uvarint(b[1:])
		if used > 0 {
			return b[0], n, 1 + used, nil
		}
		if used < 0 {
			break
		}
	}
	return 0, 0, 0, &FrameError{What: "frame length is too large"}
}

// discard removes n bytes that were peeked at from the buffer.
func (c *Conn) discard(n int) { _, _ = c.r.Discard(n) } // can't fail: the bytes are buffered

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.packWrites {
		return c.Conn.Write(p)
	}
	if len(p) == 0 {
		return 0, nil
	}
	c.out = c.out[:0]
	body := p[c.packHead(p):]
	if len(body) > 0 {
		c.out = binary.AppendUvarint(append(c.out, frameRaw), uint64(len(body)))
	}
	copyBody := len(body) <= maxCopiedBody
	if copyBody {
		c.out = append(c.out, body...)
	}
	if _, err := c.Conn.Write(c.out); err != nil {
		return 0, err
	}
	if copyBody {
		return len(p), nil
	}
	n, err := c.Conn.Write(body)
	return len(p) - len(body) + n, err
}

// closeWriter is a connection whose write side can be closed alone.
type closeWriter interface{ CloseWrite() error }

// CloseWrite closes the write side of the connection. HTTP servers half-close a
// connection with unread bytes in this way before they close it. If the
// underlying connection can't be half-closed, CloseWrite does nothing; the Close
// that follows ends the connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(closeWriter); ok {
		return half.CloseWrite()
	}
	return nil
}

// packHead appends the frame of the head at the start of p to c.out, and returns
// the length of the head in p, in bytes. It returns 0 if p doesn't begin with a
// head that can be packed.
func (c *Conn) packHead(p []byte) int {
	if p[0] < minPlainByte {
		return 0
	}
	end := bytes.Index(p[:min(len(p), maxPacked)], []byte(headEnd))
	if end < 0 {
		return 0
	}
	if c.encoder == nil {
		c.encoder = newEncoder()
	}
	end += len(headEnd)
	block, ok := c.encoder.encode(string(p[:end]))
	if !ok {
		return 0
	}
	c.out = binary.AppendUvarint(append(c.out, frameHead), uint64(len(block)))
	c.out = append(c.out, block...)
	return end
}

// Listener accepts packed and plain connections, and wraps each with Server.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Server(c), nil
}
