package memory

import (
	"context"
	"sync"

	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/peer"
)

// RefusedError reports a dial to an address without an open transport.
type RefusedError struct{}

// Error implements error.
func (*RefusedError) Error() string { return "connection refused" }

// Transport is a node's access to a Network. It implements peer.Transport.
type Transport struct {
	net     *Network
	id      model.NodeID
	addr    string
	backlog chan *conn
	done    chan struct{}
	once    sync.Once

	mu    sync.Mutex
	pipes map[*pipe]struct{}
}

var _ peer.Transport = (*Transport)(nil)

// Dial implements peer.Transport.
func (t *Transport) Dial(ctx context.Context, addr string) (peer.Conn, error) {
	if err := t.waitHealed(ctx, addr); err != nil {
		return nil, &peer.DialError{Addr: addr, Err: err}
	}
	target := t.net.transportAt(addr)
	if target == nil {
		return nil, &peer.DialError{Addr: addr, Err: &RefusedError{}}
	}
	p := newPipe(t, target)
	if err := target.enqueue(ctx, p.accepted); err != nil {
		p.close()
		return nil, &peer.DialError{Addr: addr, Err: err}
	}
	return p.dialled, nil
}

// waitHealed waits until the link to addr is not cut. It returns an error if the
// transport is closed or ctx ends first.
func (t *Transport) waitHealed(ctx context.Context, addr string) error {
	for {
		if t.isClosed() {
			return peer.ErrClosed
		}
		cut, changed := t.net.cutState(linkOf(t.addr, addr))
		if !cut {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-t.done:
			return peer.ErrClosed
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// enqueue adds the accepting end of a connection to the transport's backlog.
func (t *Transport) enqueue(ctx context.Context, c *conn) error {
	if t.isClosed() {
		return &RefusedError{}
	}
	select {
	case t.backlog <- c:
		return nil
	case <-t.done:
		return &RefusedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Accept implements peer.Transport.
func (t *Transport) Accept(ctx context.Context) (peer.Conn, error) {
	if t.isClosed() {
		return nil, peer.ErrClosed
	}
	select {
	case c := <-t.backlog:
		return c, nil
	case <-t.done:
		return nil, peer.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Addr implements peer.Transport.
func (t *Transport) Addr() string { return t.addr }

// Close implements peer.Transport.
func (t *Transport) Close() error {
	t.net.removeTransport(t)
	t.shutdown()
	return nil
}

// shutdown closes the transport without removing it from its network.
func (t *Transport) shutdown() {
	t.once.Do(func() { close(t.done) })
	t.mu.Lock()
	open := make([]*pipe, 0, len(t.pipes))
	for p := range t.pipes {
		open = append(open, p)
	}
	t.mu.Unlock()
	for _, p := range open {
		p.close()
	}
}

func (t *Transport) isClosed() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

func (t *Transport) track(p *pipe) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pipes == nil {
		t.pipes = make(map[*pipe]struct{})
	}
	t.pipes[p] = struct{}{}
}

func (t *Transport) untrack(p *pipe) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pipes, p)
}
