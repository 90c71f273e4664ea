package link

import (
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/peer"
)

// simultaneousDialTimeouts is the maximum time, in handshake timeouts, between
// the completion of two connections that both sides dialled at once: one timeout
// for each handshake.
const simultaneousDialTimeouts = 2

// link is a connection that has completed the handshake.
type link struct {
	conn peer.Conn
	// dialled is set when this node opened the connection.
	dialled bool
	// up is the PeerUp event with the peer's data from the handshake.
	up core.PeerUp
	// remote is the peer; set when the link is registered.
	remote *remote
	// since is when the link was registered, after the handshake.
	since time.Time
}

// remote is a peer with at least one connection. Its fields, except the
// channels, are guarded by Manager.mu.
type remote struct {
	node model.NodeID
	// conns are the open connections, oldest first.
	conns []*link
	// up is the most recent PeerUp event.
	up core.PeerUp
	// closing is set when the last connection has ended.
	closing bool
	// upEmitted is closed after the first PeerUp was emitted.
	upEmitted chan struct{}
	// removed is closed after PeerDown was emitted and the peer was removed.
	removed chan struct{}
	// out holds the message that the writer sends next. writerDone is closed
	// when the writer has ended.
	out        chan []byte
	writerDone chan struct{}
}

// closeAll closes the peer's connections without waiting.
func (r *remote) closeAll() {
	for _, l := range r.conns {
		// Close may wait for the transport's locks, and the caller holds
		// Manager.mu.
		go l.conn.Close()
	}
}

// preferred returns the connection to send on: the newest one dialled by the
// node with the lower key, or else the newest. It is nil without connections.
func (r *remote) preferred(self model.NodeID) *link {
	selfDials := self.Key() < r.node.Key()
	var best *link
	for _, l := range r.conns {
		if best == nil || l.dialled == selfDials || best.dialled != selfDials {
			best = l
		}
	}
	return best
}

// addLink adds a connection to its peer. It emits PeerUp if the peer is new or
// the connection received a Welcome. The error is a *MaxPeersError or a
// *StaleError, or shows that the manager has stopped.
func (m *Manager) addLink(l *link) error {
	for {
		r, first, wait, err := m.register(l)
		if err != nil {
			l.conn.Close()
			return err
		}
		if wait != nil {
			select {
			case <-wait:
				continue
			case <-m.ctx.Done():
				l.conn.Close()
				return m.ctx.Err()
			}
		}
		m.emitUp(r, l, first)
		return nil
	}
}

// register adds the connection under the lock; first is set if the peer is new.
// If the existing peer is closing, or the new connection shows that it has lost
// the old one, it must be removed first: nothing is added then, and wait is
// closed once the caller may try again.
func (m *Manager) register(l *link) (r *remote, first bool, wait <-chan struct{}, err error) {
	record := l.up.Record
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, false, nil, peer.ErrClosed
	}
	r = m.peers[record.Node]
	if r == nil {
		if len(m.peers) >= m.cfg.MaxPeers {
			return nil, false, nil, &MaxPeersError{Max: m.cfg.MaxPeers}
		}
		r = m.addRemote(record.Node)
		first = true
	} else if current := r.up.Record.Incarnation; current > record.Incarnation {
		return nil, false, nil, &StaleError{Have: record.Incarnation, Current: current}
	} else if r.closing || current < record.Incarnation || m.tooLateForSimultaneousDial(r) {
		r.closeAll()
		return nil, false, r.removed, nil
	}
	l.remote = r
	l.since = time.Now()
	r.conns = append(r.conns, l)
	if first || l.up.Welcomed {
		r.up = l.up
	}
	m.closeSuperseded(r)
	return r, first, nil, nil
}

// tooLateForSimultaneousDial reports whether the peer's newest connection is too
// old for a new one to result from a simultaneous dial. The other side has then
// lost the existing connection, and messages with it.
func (m *Manager) tooLateForSimultaneousDial(r *remote) bool {
	newest := r.conns[len(r.conns)-1]
	return time.Since(newest.since) > simultaneousDialTimeouts*m.cfg.HandshakeTimeout
}

// addRemote adds a peer and starts its writer.
func (m *Manager) addRemote(node model.NodeID) *remote {
	r := &remote{
		node:       node,
		upEmitted:  make(chan struct{}),
		removed:    make(chan struct{}),
		out:        make(chan []byte, 1),
		writerDone: make(chan struct{}),
	}
	m.peers[node] = r
	m.tasks.Go(func() {
		defer close(r.writerDone)
		m.writeAll(r)
	})
	return r
}

// closeSuperseded schedules the close of the connections that are not preferred,
// one handshake timeout from now: until then the other side may still complete
// its handshake and send on them.
func (m *Manager) closeSuperseded(r *remote) {
	keep := r.preferred(m.cfg.Node)
	for _, l := range r.conns {
		if l != keep {
			time.AfterFunc(m.cfg.HandshakeTimeout, func() { l.conn.Close() })
		}
	}
}

// emitUp emits the PeerUp of a connection, unless the peer is already up and the
// connection received no Welcome. It waits until the peer's first PeerUp was
// emitted.
func (m *Manager) emitUp(r *remote, l *link, first bool) {
	if first {
		m.emit(l.up)
		close(r.upEmitted)
		return
	}
	select {
	case <-r.upEmitted:
	case <-m.ctx.Done():
	}
	if l.up.Welcomed {
		m.emit(l.up)
	}
}

// reemitUp emits the PeerUp of a connected peer again, or DialFailed if the peer
// is closing.
func (m *Manager) reemitUp(r *remote) {
	select {
	case <-r.upEmitted:
	case <-m.ctx.Done():
		return
	}
	m.mu.Lock()
	up, closing := r.up, r.closing
	m.mu.Unlock()
	if closing {
		m.emit(core.DialFailed{Node: r.node, Addr: up.Record.PeerAddr})
		return
	}
	m.emit(up)
}

// serve reads the connection until it ends, then removes it.
func (m *Manager) serve(l *link) {
	err := m.readAll(l)
	l.conn.Close()
	m.meter.ended()
	m.recordRefusal(l.remote.node, l.conn.RemoteAddr(), err)
	m.removeLink(l)
}

// readAll emits a Received event for each message. It leaves out those that can't be decoded, such as
// messages of a kind that a later version has added: the connection carries others. It returns the
// error that ends the connection.
func (m *Manager) readAll(l *link) error {
	for {
		msg, err := m.receive(m.ctx, l.conn, l.remote.node)
		if isUnreadable(err) {
			continue
		}
		if err != nil {
			return err
		}
		if k := msg.Kind(); k == message.KindHello || k == message.KindWelcome {
			return &UnexpectedError{Kind: k}
		}
		m.emit(core.Received{From: l.remote.node, Message: msg})
	}
}

// removeLink removes an ended connection. If it was the peer's last one, it also
// drops the peer's queued messages, emits PeerDown and removes the peer.
func (m *Manager) removeLink(l *link) {
	r := l.remote
	m.mu.Lock()
	for i, other := range r.conns {
		if other == l {
			r.conns = append(r.conns[:i:i], r.conns[i+1:]...)
			break
		}
	}
	last := len(r.conns) == 0
	unsent := 0
	if last {
		r.closing = true
		unsent = m.queue.Remove(r.node)
		close(r.out)
		m.notifyFlushLocked()
	}
	m.mu.Unlock()
	if !last {
		return
	}
	m.meter.dropped("disconnected", unsent)
	<-r.writerDone
	m.emit(core.PeerDown{Node: r.node})
	m.mu.Lock()
	delete(m.peers, r.node)
	m.mu.Unlock()
	close(r.removed)
}
