// Package eventqueue delivers events and function calls to the goroutine that owns
// the decision cores of a node.
package eventqueue

import (
	"context"

	"github.com/jacinthgate/jacinthgate/coordination/core"
)

// Queue holds events and calls for the goroutine that owns the cores, which receives
// from both channels. Its methods are safe for concurrent use.
type Queue struct {
	// Events are for the cores.
	Events chan core.Event
	// Calls are functions that the owner runs between two events.
	Calls chan func()
}

// New returns a queue that buffers the given number of events before Post blocks.
func New(events int) *Queue {
	return &Queue{Events: make(chan core.Event, events), Calls: make(chan func())}
}

// Post enqueues an event. It blocks while the queue is full, and discards the event
// if ctx ends first.
func (q *Queue) Post(ctx context.Context, ev core.Event) {
	select {
	case q.Events <- ev:
	case <-ctx.Done():
	}
}

// Ask runs f on the owner's goroutine and returns its result. If ctx ends first, Ask
// returns false without waiting for f, which may still run or never run: f must not write
// to variables of its caller.
func Ask[T any](ctx context.Context, q *Queue, f func() T) (result T, ran bool) {
	results := make(chan T, 1)
	select {
	case q.Calls <- func() { results <- f() }:
	case <-ctx.Done():
		return result, false
	}
	select {
	case result = <-results:
		return result, true
	case <-ctx.Done():
		return result, false
	}
}
