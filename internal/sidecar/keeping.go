package sidecar

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// recordTimeout bounds how long an acknowledgement waits until both the store and a peer
	// remember that the backend server leaves; one of them is enough after that.
	recordTimeout = 300 * time.Millisecond
	// keepTimeout bounds how long it waits until one of them does. Acknowledgements are due within
	// a second.
	keepTimeout = 700 * time.Millisecond
)

// NotKeptError reports a departure that neither the store nor a peer remembers. If this node
// crashed, nobody would know of it.
type NotKeptError struct {
	// Instance is the instance of the backend server.
	Instance string
	// Err is the store's error.
	Err error
}

// Error implements error.
func (e *NotKeptError) Error() string {
	return fmt.Sprintf("departure of %s is not remembered by the store or a peer yet: %v", e.Instance, e.Err)
}

// Unwrap returns the store's error.
func (e *NotKeptError) Unwrap() error { return e.Err }

// unkept is a departure that nobody else is known to remember.
type unkept struct {
	// byPeer and inStore are closed when a peer and the store remember it.
	byPeer, inStore chan struct{}
	peer, store     bool
}

// isUnkept reports whether a departure is known that nobody else is known to remember.
func (b *backends) isUnkept(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unkept[key] != nil
}

// keep waits until somebody else remembers a departure: it may be acknowledged only then. The error
// is a *NotKeptError.
func (b *backends) keep(key string) error {
	u := b.awaitKept(key)
	b.leaving(key)
	recorded := make(chan error, 1)
	go func() { recorded <- b.recordDrain(key) }()
	var storeErr error
	byPeer, inStore := u.byPeer, u.inStore // nil once it was closed
	bothDue, deadline := time.After(recordTimeout), time.After(keepTimeout)
	needed := 2 // of the two that have to remember it
	for {
		remembered := 0
		if byPeer == nil {
			remembered++
		}
		if inStore == nil {
			remembered++
		}
		if remembered >= needed {
			b.forgetKept(key)
			return nil
		}
		select {
		case <-byPeer:
			byPeer = nil
		case <-inStore:
			inStore = nil
		case storeErr = <-recorded:
			if storeErr != nil {
				needed = 1
			}
		case <-bothDue:
			needed = 1
		case <-deadline:
			_ = level.Warn(b.log).Log("event", "drain_not_kept", "instance", key, "err", storeErr)
			return &NotKeptError{Instance: key, Err: storeErr}
		}
	}
}

// recordDrain writes to the store that an instance is leaving, so that a node that is restarted
// doesn't send to it again.
func (b *backends) recordDrain(key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	err := b.record(ctx, b.node, key)
	if err != nil {
		_ = level.Warn(b.log).Log("event", "drain_not_recorded", "instance", key, "err", err)
		return err
	}
	b.keptInStore(key)
	return nil
}

// awaitKept returns what tells that a departure is remembered.
func (b *backends) awaitKept(key string) *unkept {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unkept == nil {
		b.unkept = make(map[string]*unkept)
	}
	if b.unkept[key] == nil {
		b.unkept[key] = &unkept{byPeer: make(chan struct{}), inStore: make(chan struct{})}
	}
	return b.unkept[key]
}

// keptByPeer notes that a peer remembers a departure.
func (b *backends) keptByPeer(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.unkept[key]; u != nil && !u.peer {
		u.peer = true
		close(u.byPeer)
	}
}

// keptInStore notes that the store remembers a departure.
func (b *backends) keptInStore(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.unkept[key]; u != nil && !u.store {
		u.store = true
		close(u.inStore)
	}
}

// forgetKept ends the wait for a departure that is remembered.
func (b *backends) forgetKept(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.unkept, key)
}
