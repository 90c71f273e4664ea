package link

import (
	"context"
	"time"
)

// sendAll passes queued messages to the peers' writers as the budget allows, one
// at a time for each peer, until the manager stops.
func (m *Manager) sendAll() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := m.dispatch()
		var due <-chan time.Time
		if wait > 0 {
			timer.Reset(wait)
			due = timer.C
		}
		select {
		case <-m.wake:
		case <-due:
		case <-m.ctx.Done():
			return
		}
	}
}

// dispatch passes all messages that may be sent now to the writers. It returns
// the time until the budget allows the next one, or 0 if no message waits.
func (m *Manager) dispatch() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		item, wait, ok := m.queue.Pop(time.Now())
		if !ok {
			return wait
		}
		r := m.peers[item.Peer]
		m.queue.Block(item.Peer)
		m.writing++
		r.out <- item.Payload // does not block: an unblocked peer's writer holds no message
	}
}

// writeAll sends the messages of one peer until its out channel is closed.
func (m *Manager) writeAll(r *remote) {
	for payload := range r.out {
		if m.write(r, payload) {
			m.meter.bytes("out", payload)
		} else {
			m.meter.dropped("disconnected", 1)
		}
		m.mu.Lock()
		m.queue.Unblock(r.node)
		m.writing--
		m.notifyFlushLocked()
		m.mu.Unlock()
		m.wakeSender()
	}
}

// write sends one message on the preferred connection. If that fails, it closes
// the connection and tries the one that is preferred then. It reports whether
// the message was sent.
func (m *Manager) write(r *remote, payload []byte) bool {
	var failed *link
	for {
		m.mu.Lock()
		l := r.preferred(m.cfg.Node)
		m.mu.Unlock()
		if l == nil || l == failed {
			return false
		}
		ctx, cancel := context.WithTimeout(m.ctx, m.cfg.SendTimeout)
		err := l.conn.Send(ctx, payload)
		cancel()
		if err == nil {
			return true
		}
		l.conn.Close()
		failed = l
	}
}
