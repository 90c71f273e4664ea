// Package eventqueue brings events and questions to the goroutine that owns the
// decision cores of a node.
package eventqueue

import (
	"context"

	"github.com/jacinthgate/jacinthgate/coordination/core"
)

// Queue is what waits for the owner of the cores, who reads both channels. Its
// methods are safe for concurrent use.
type Queue struct {
	// Events are for the cores.
	Events chan core.Event
	// Calls run between two events.
	Calls chan func()
}

// New returns a queue in which so many events wait before Post blocks.
func New(events int) *Queue {
	return &Queue{Events: make(chan core.Event, events), Calls: make(chan func())}
}

// Post hands over an event. It blocks while the owner is behind, and gives up
// when ctx ends.
func (q *Queue) Post(ctx context.Context, ev core.Event) {
	select {
	case q.Events <- ev:
	case <-ctx.Done():
	}
}

// Ask runs f on the owner's goroutine and waits for it. It reports false, and f
// may never run, when ctx ends first.
func (q *Queue) Ask(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	call := func() {
		f()
		close(done)
	}
	select {
	case q.Calls <- call:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
