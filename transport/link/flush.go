package link

import (
	"context"

	"github.com/jacinthgate/jacinthgate/transport/peer"
)

// Flush waits until the send queue is empty, so that a node can notify its peers
// before it shuts down. Messages already passed to the transport may still be in
// flight, so the caller should wait briefly before it closes the connections.
// Flush returns ctx's error, or peer.ErrClosed once the manager has stopped.
func (m *Manager) Flush(ctx context.Context) error {
	for {
		progress := m.unsent()
		if progress == nil {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return ctx.Err()
		case <-m.ctx.Done():
			return peer.ErrClosed
		}
	}
}

// unsent returns nil if no message waits to be sent. Otherwise it returns a
// channel that is closed when the number of waiting messages may have fallen.
func (m *Manager) unsent() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.queue.Len() == 0 && m.writing == 0 {
		return nil
	}
	if m.progress == nil {
		m.progress = make(chan struct{})
	}
	return m.progress
}

// notifyFlushLocked wakes the callers that wait in Flush.
func (m *Manager) notifyFlushLocked() {
	if m.progress != nil {
		close(m.progress)
		m.progress = nil
	}
}
