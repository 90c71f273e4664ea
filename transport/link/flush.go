package link

import (
	"context"

	"github.com/jacinthgate/jacinthgate/transport/peer"
)

// Flush waits until no message waits to be sent, so that a node that shuts down
// can tell its peers first. Messages handed to the transport may still be under
// way: leave them a moment before the connections are closed. It returns ctx's
// error, or peer.ErrClosed once the manager has stopped.
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

// unsent returns nil when no message waits to be sent, or else a channel that
// is closed when there may be fewer.
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

// progressLocked wakes those who wait in Flush.
func (m *Manager) progressLocked() {
	if m.progress != nil {
		close(m.progress)
		m.progress = nil
	}
}
