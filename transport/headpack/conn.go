package headpack

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"net"
	"sync"
)

// The kinds of frame.
const (
	frameRaw  = 1 // bytes as they are
	frameHead = 2 // an HPACK block that stands for a head
)

// firstLetter is the least byte that a plain connection begins with.
const firstLetter = 'A'

const (
	// readBuffer holds the largest frame of a head, in bytes.
	readBuffer = 8 << 10
	// maxBlock bounds the block of a head, in bytes.
	maxBlock = readBuffer - 1 - binary.MaxVarintLen64
	// maxPacked bounds the heads that are packed, in bytes, so that no block is
	// too large: HPACK adds a few bytes to a field at most.
	maxPacked = 4 << 10
	// copied is the size up to which bytes that are written are copied behind
	// their frame's head, so that they leave in one piece.
	copied = 8 << 10
)

// Conn is a packed connection. One goroutine may read and another one write.
type Conn struct {
	net.Conn

	r       *bufio.Reader
	started bool // the first byte was seen
	plain   bool // the other end doesn't pack
	decoder *decoder
	head    []byte // decoded and not read yet
	raw     uint64 // bytes of a raw frame that are still to come

	mu      sync.Mutex // guards what follows
	packs   bool       // what is written is packed
	encoder *encoder
	out     []byte
}

// Client wraps a connection that this node has opened to another node.
func Client(c net.Conn) *Conn {
	return &Conn{Conn: c, r: bufio.NewReaderSize(c, readBuffer), packs: true}
}

// Server wraps a connection that was accepted. It is packed where the other end
// packs.
func Server(c net.Conn) *Conn { return &Conn{Conn: c, r: bufio.NewReaderSize(c, readBuffer)} }

// Pending reports whether bytes were received that nobody has read.
func (c *Conn) Pending() bool { return len(c.head) > 0 || c.raw > 0 || c.r.Buffered() > 0 }

// Read implements net.Conn. Beside the connection's errors it returns a
// *FrameError. A read that ended at a deadline can be taken up again.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if !c.started {
		if err := c.start(); err != nil {
			return 0, err
		}
	}
	if c.plain {
		return c.r.Read(p)
	}
	for len(c.head) == 0 && c.raw == 0 {
		if err := c.nextFrame(); err != nil {
			return 0, err
		}
	}
	if len(c.head) > 0 {
		n := copy(p, c.head)
		c.head = c.head[n:]
		return n, nil
	}
	if uint64(len(p)) > c.raw {
		p = p[:c.raw]
	}
	n, err := c.r.Read(p)
	c.raw -= uint64(n)
	return n, err
}

// start looks at the first byte, which tells whether the other end packs.
func (c *Conn) start() error {
	first, err := c.r.Peek(1)
	if err != nil {
		return err
	}
	c.started = true
	c.plain = first[0] >= firstLetter
	if !c.plain {
		c.decoder = newDecoder()
		c.mu.Lock()
		c.packs = true
		c.mu.Unlock()
	}
	return nil
}

// nextFrame reads the next frame's kind and length, and all of a head. Nothing
// is taken from the buffer before it is there whole.
func (c *Conn) nextFrame() error {
	kind, length, start, err := c.peekFrame()
	if err != nil {
		return err
	}
	switch kind {
	case frameRaw:
		c.discard(start)
		c.raw = length
		return nil
	case frameHead:
		if length > maxBlock {
			return lengthError(length)
		}
		whole, err := c.r.Peek(start + int(length))
		if err != nil {
			return err
		}
		c.head, err = c.decoder.decode(whole[start:])
		c.discard(len(whole))
		return err
	default:
		return &FrameError{What: "a frame of no known kind"}
	}
}

// peekFrame reads a frame's kind and length, and where its bytes begin.
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
	return 0, 0, 0, &FrameError{What: "a length that is too large"}
}

// discard takes bytes that were peeked at.
func (c *Conn) discard(n int) { _, _ = c.r.Discard(n) } // they are in the buffer

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.packs {
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
	small := len(body) <= copied
	if small {
		c.out = append(c.out, body...)
	}
	if _, err := c.Conn.Write(c.out); err != nil {
		return 0, err
	}
	if small {
		return len(p), nil
	}
	n, err := c.Conn.Write(body)
	return len(p) - len(body) + n, err
}

// closeWriter is a connection of which one direction can be closed.
type closeWriter interface{ CloseWrite() error }

// CloseWrite closes the direction that this end writes, which servers do before
// they close a connection with bytes that they haven't read. Where that can't be
// done alone it does nothing; Close follows.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(closeWriter); ok {
		return half.CloseWrite()
	}
	return nil
}

// packHead packs the head that p begins with, and returns its length in p; 0
// where there is none.
func (c *Conn) packHead(p []byte) int {
	if p[0] < firstLetter {
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

// Listener accepts packed connections and plain ones.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Server(c), nil
}
