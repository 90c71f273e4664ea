package quic

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	quicgo "github.com/quic-go/quic-go"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/peer"
)

// readBuffer is the size of a connection's read buffer in bytes. It only serves
// to read the length prefix without one stream read per byte.
const readBuffer = 512

// initialBufferSize is the maximum number of bytes allocated for a message
// before its body arrives, as the length prefix comes from the peer and is not
// trusted. The buffer of a longer message grows as its bytes arrive.
const initialBufferSize = 16 << 10

// conn implements peer.Conn on one QUIC connection and its stream.
type conn struct {
	quic   *quicgo.Conn
	stream *quicgo.Stream
	peer   model.NodeID

	sendMu    sync.Mutex
	receiveMu sync.Mutex
	reader    *bufio.Reader
}

var _ peer.Conn = (*conn)(nil)

func newConn(q *quicgo.Conn, stream *quicgo.Stream, id model.NodeID) *conn {
	return &conn{quic: q, stream: stream, peer: id, reader: bufio.NewReaderSize(stream, readBuffer)}
}

// Send implements peer.Conn. If ctx ends while the message is being written,
// the connection is closed, as the message may have been sent in part.
func (c *conn) Send(ctx context.Context, msg []byte) error {
	if len(msg) == 0 || len(msg) > message.MaxSize {
		return &FrameError{Size: uint64(len(msg))}
	}
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	frame := make([]byte, 0, binary.MaxVarintLen32+len(msg))
	frame = binary.AppendUvarint(frame, uint64(len(msg)))
	frame = append(frame, msg...)
	return c.write(ctx, frame)
}

// write writes b to the stream. It closes the connection on failure.
func (c *conn) write(ctx context.Context, b []byte) error {
	stop := context.AfterFunc(ctx, func() { c.stream.SetWriteDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := c.stream.Write(b); err != nil {
		return c.fail(ctx, err)
	}
	return nil
}

// Receive implements peer.Conn. If ctx ends during the read, the connection is
// closed, as a message may have been read in part.
func (c *conn) Receive(ctx context.Context) ([]byte, error) {
	c.receiveMu.Lock()
	defer c.receiveMu.Unlock()
	stop := context.AfterFunc(ctx, func() { c.stream.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	size, err := binary.ReadUvarint(c.reader)
	if err != nil {
		return nil, c.fail(ctx, err)
	}
	if size == 0 || size > message.MaxSize {
		c.quic.CloseWithError(codeProtocol, "frame size")
		return nil, &FrameError{Size: size}
	}
	msg, err := c.readBody(int(size))
	if err != nil {
		return nil, c.fail(ctx, err)
	}
	return msg, nil
}

// readBody reads a message of size bytes.
func (c *conn) readBody(size int) ([]byte, error) {
	msg := make([]byte, 0, min(size, initialBufferSize))
	for len(msg) < size {
		if len(msg) == cap(msg) {
			grown := make([]byte, len(msg), min(size, 2*cap(msg)))
			copy(grown, msg)
			msg = grown
		}
		n, err := io.ReadFull(c.reader, msg[len(msg):min(size, cap(msg))])
		msg = msg[:len(msg)+n]
		if err != nil {
			return nil, err
		}
	}
	return msg, nil
}

// fail closes the connection after err. It returns the context's error if ctx
// has ended, peer.ErrClosed if either side closed the connection, or else err.
func (c *conn) fail(ctx context.Context, err error) error {
	c.Close()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var app *quicgo.ApplicationError
	if errors.Is(err, io.EOF) || errors.Is(err, quicgo.ErrTransportClosed) {
		return peer.ErrClosed
	}
	if errors.As(err, &app) && app.ErrorCode == codeClosed {
		return peer.ErrClosed
	}
	return err
}

func (c *conn) sendPreface(ctx context.Context) error {
	return c.write(ctx, []byte{preface})
}

func (c *conn) receivePreface(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { c.stream.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	b, err := c.reader.ReadByte()
	if err != nil {
		return c.fail(ctx, err)
	}
	if b != preface {
		return &PrefaceError{Have: b}
	}
	return nil
}

// Peer implements peer.Conn.
func (c *conn) Peer() model.NodeID { return c.peer }

// RemoteAddr implements peer.Conn.
func (c *conn) RemoteAddr() string { return c.quic.RemoteAddr().String() }

// Close implements peer.Conn. Messages in flight may be lost.
func (c *conn) Close() error {
	return c.quic.CloseWithError(codeClosed, "")
}
