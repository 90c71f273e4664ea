package eventqueue

import (
	"context"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
)

// TickInterval is the time between two Ticks. The cores require one at least
// every 100 ms.
const TickInterval = 100 * time.Millisecond

// Links are the connections to peers.
type Links interface {
	// Events delivers received messages, and the start and end of connections.
	Events() <-chan core.Event
}

// Loop runs the event loop of a node. The goroutine in Run owns the node's decision
// cores: no other goroutine accesses them, and it handles one event at a time.
type Loop struct {
	// Queue holds the events and function calls submitted by other goroutines.
	Queue *Queue
	// Links are the connections to peers; LinksDone is closed once they have shut down.
	Links     Links
	LinksDone <-chan struct{}
	// Flush fires when changed records are due to be sent.
	Flush *time.Timer
	// Step passes one event to every core and executes the resulting actions.
	Step func(core.Event)
	// OnTick is called every TickInterval; it runs Step with a Tick.
	OnTick func(now time.Time)
}

// Run handles events until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case ev := <-l.Queue.Events:
			l.Step(ev)
		case ev := <-l.Links.Events():
			l.Step(ev)
		case call := <-l.Queue.Calls:
			call()
		case now := <-ticker.C:
			l.OnTick(now)
		case <-l.Flush.C:
			l.Step(core.Tick{})
		case <-ctx.Done():
			l.drain()
			return
		}
	}
}

// drain discards remaining events and still runs queued calls until LinksDone is
// closed: handshakes in progress wait for these calls, and the links for the handshakes.
func (l *Loop) drain() {
	for {
		select {
		case <-l.Links.Events():
		case <-l.Queue.Events:
		case call := <-l.Queue.Calls:
			call()
		case <-l.LinksDone:
			return
		}
	}
}
