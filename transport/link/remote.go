package link

import (
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/peer"
)

// crossingTimeouts is how many handshake timeouts may lie between two
// connections that were dialled by both sides at once: one for each handshake.
const crossingTimeouts = 2

// link is one connection after the handshake.
type link struct {
	conn peer.Conn
	// dialled is set when this node opened the connection.
	dialled bool
	up      core.PeerUp
	remote  *remote
	// since is when the handshake was complete.
	since time.Time
}

// remote is a peer with at least one connection. Its fields, except the
// channels, are guarded by Manager.mu.
type remote struct {
	node model.NodeID
	// conns are the open connections, oldest first.
	conns []*link
	// up is the newest PeerUp event.
	up core.PeerUp
	// closing is set when the last connection has ended.
	closing bool
	// announced is closed after the first PeerUp was emitted.
	announced chan struct{}
	// gone is closed after PeerDown was emitted.
	gone chan struct{}
	// out holds the message that the writer sends next; written is closed
	// when the writer has ended.
	out     chan []byte
	written chan struct{}
}

func (r *remote) closeAll() {
	for _, l := range r.conns {
		// Closing may have to wait for the transport's own locks.
		go l.conn.Close()
	}
}

// preferred returns the connection to send on: the newest of those dialled by
// the node with the lower key, or else the newest.
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

// join adds a connection to its peer and emits PeerUp where that is news. The
// errors are *MaxPeersError and *StaleError.
func (m *Manager) join(l *link) error {
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
		m.announce(r, l, first)
		return nil
	}
}

// register adds the connection under the lock. A peer that is ending, or that
// the new connection shows to have lost the old one, has to be gone first: wait
// is then closed when it is.
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
	} else if known := r.up.Record.Incarnation; known > record.Incarnation {
		return nil, false, nil, &StaleError{Have: record.Incarnation, Known: known}
	} else if r.closing || known < record.Incarnation || m.tooLateToCross(r) {
		r.closeAll()
		return nil, false, r.gone, nil
	}
	l.remote = r
	l.since = time.Now()
	r.conns = append(r.conns, l)
	if first || l.up.Welcomed {
		r.up = l.up
	}
	m.retire(r)
	return r, first, nil, nil
}

// tooLateToCross reports that a new connection can't have been dialled while
// the peer's present one was under way. The other side has then lost the
// present one, and messages with it.
func (m *Manager) tooLateToCross(r *remote) bool {
	newest := r.conns[len(r.conns)-1]
	return time.Since(newest.since) > crossingTimeouts*m.cfg.HandshakeTimeout
}

func (m *Manager) addRemote(node model.NodeID) *remote {
	r := &remote{
		node:      node,
		announced: make(chan struct{}),
		gone:      make(chan struct{}),
		out:       make(chan []byte, 1),
		written:   make(chan struct{}),
	}
	m.peers[node] = r
	m.tasks.Go(func() {
		defer close(r.written)
		m.writeAll(r)
	})
	return r
}

// retire closes the connections that are not preferred, after the time that a
// handshake of the other side may still take.
func (m *Manager) retire(r *remote) {
	keep := r.preferred(m.cfg.Node)
	for _, l := range r.conns {
		if l != keep {
			time.AfterFunc(m.cfg.HandshakeTimeout, func() { l.conn.Close() })
		}
	}
}

// announce emits the PeerUp of a connection, after the peer's first one.
func (m *Manager) announce(r *remote, l *link, first bool) {
	if first {
		m.emit(l.up)
		close(r.announced)
		return
	}
	select {
	case <-r.announced:
	case <-m.ctx.Done():
	}
	if l.up.Welcomed {
		m.emit(l.up)
	}
}

// repeatUp emits the PeerUp of a connected peer again.
func (m *Manager) repeatUp(r *remote) {
	select {
	case <-r.announced:
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

// serve reads the connection until it ends.
func (m *Manager) serve(l *link) {
	err := m.readAll(l)
	l.conn.Close()
	m.refuse(l.remote.node, l.conn.RemoteAddr(), err)
	m.leave(l)
}

func (m *Manager) readAll(l *link) error {
	for {
		msg, err := m.receive(m.ctx, l.conn)
		if err != nil {
			return err
		}
		if k := msg.Kind(); k == message.KindHello || k == message.KindWelcome {
			return &UnexpectedError{Kind: k}
		}
		m.emit(core.Received{From: l.remote.node, Message: msg})
	}
}

// leave removes an ended connection. With the last one the peer is down.
func (m *Manager) leave(l *link) {
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
		m.progressLocked()
	}
	m.mu.Unlock()
	if !last {
		return
	}
	m.meter.dropped("disconnected", unsent)
	<-r.written
	m.emit(core.PeerDown{Node: r.node})
	m.mu.Lock()
	delete(m.peers, r.node)
	m.mu.Unlock()
	close(r.gone)
}
