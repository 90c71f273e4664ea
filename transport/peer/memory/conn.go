package memory

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/peer"
)

// queueLength is the number of messages that may be in flight in one direction
// before Send blocks.
const queueLength = 64

// pipe is a connection with its two ends.
type pipe struct {
	net      *Network
	dialled  *conn
	accepted *conn
	done     chan struct{}
	once     sync.Once
	// expiry closes the pipe once its link has been cut for the idle timeout.
	// It is nil while the link is not cut, and guarded by net.mu.
	expiry *time.Timer
}

// newPipe connects two transports and registers the pipe with them and with the
// network.
func newPipe(from, to *Transport) *pipe {
	p := &pipe{net: from.net, done: make(chan struct{})}
	toAccepted := make(chan []byte, queueLength)
	toDialled := make(chan []byte, queueLength)
	p.dialled = &conn{pipe: p, local: from, remote: to, in: toDialled, out: toAccepted}
	p.accepted = &conn{pipe: p, local: to, remote: from, in: toAccepted, out: toDialled}
	from.track(p)
	to.track(p)
	p.net.addPipe(p)
	return p
}

// link returns the pair of addresses that the pipe connects.
func (p *pipe) link() link { return linkOf(p.dialled.local.addr, p.dialled.remote.addr) }

// close ends the connection on both sides.
func (p *pipe) close() {
	p.once.Do(func() {
		close(p.done)
		p.net.removePipe(p)
		p.dialled.local.untrack(p)
		p.dialled.remote.untrack(p)
	})
}

// conn is one end of a pipe. One goroutine at a time may call Receive.
type conn struct {
	pipe   *pipe
	local  *Transport
	remote *Transport
	in     <-chan []byte
	out    chan<- []byte
	// buffered is a message that was read from in while Receive waited. It is
	// delivered once the link is not cut.
	buffered []byte
	closed   atomic.Bool
}

var _ peer.Conn = (*conn)(nil)

// Send implements peer.Conn. The message is copied.
func (c *conn) Send(ctx context.Context, msg []byte) error {
	select {
	case <-c.pipe.done:
		return peer.ErrClosed
	default:
	}
	select {
	case c.out <- bytes.Clone(msg):
		return nil
	case <-c.pipe.done:
		return peer.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Receive implements peer.Conn. Messages that arrived before the other side
// closed the connection are still returned, unless the link is cut.
func (c *conn) Receive(ctx context.Context) ([]byte, error) {
	for {
		if c.closed.Load() {
			return nil, peer.ErrClosed
		}
		cut, changed := c.pipe.net.cutState(c.pipe.link())
		if cut {
			select {
			case <-changed:
				continue
			case <-c.pipe.done:
				return nil, peer.ErrClosed
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		if msg, ok := c.take(); ok {
			return msg, nil
		}
		select {
		case c.buffered = <-c.in:
		case <-changed:
		case <-c.pipe.done:
			return c.takeAfterClose()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// take returns the next message that has arrived, without waiting.
func (c *conn) take() ([]byte, bool) {
	if c.buffered != nil {
		msg := c.buffered
		c.buffered = nil
		return msg, true
	}
	select {
	case msg := <-c.in:
		return msg, true
	default:
		return nil, false
	}
}

// takeAfterClose returns a message that arrived before the pipe was closed, or
// peer.ErrClosed if there is none or this end closed the pipe.
func (c *conn) takeAfterClose() ([]byte, error) {
	if msg, ok := c.take(); ok && !c.closed.Load() {
		return msg, nil
	}
	return nil, peer.ErrClosed
}

// Peer implements peer.Conn.
func (c *conn) Peer() model.NodeID { return c.remote.id }

// RemoteAddr implements peer.Conn.
func (c *conn) RemoteAddr() string { return c.remote.addr }

// Close implements peer.Conn.
func (c *conn) Close() error {
	c.closed.Store(true)
	c.pipe.close()
	return nil
}
