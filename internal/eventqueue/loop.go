package eventqueue

import (
	"context"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
)

// TickInterval is the time between two Ticks of the cores, which ask for one at
// least every 100 ms.
const TickInterval = 100 * time.Millisecond

// Links are the connections to peers.
type Links interface {
	// Events delivers what arrives and how connections begin and end.
	Events() <-chan core.Event
}

// Loop is the goroutine that owns the decision cores of a node: it alone touches
// them, between two events.
type Loop struct {
	// Queue holds the events and questions of other goroutines.
	Queue *Queue
	// Links are the links to peers, and LinksDone is closed when they have ended.
	Links     Links
	LinksDone <-chan struct{}
	// Flush fires when changed records are due to be sent.
	Flush *time.Timer
	// Step gives one event to every core and carries out what follows.
	Step func(core.Event)
	// OnTick is called each TickInterval; it steps with a Tick.
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

// drain takes the links' last events, and answers what their handshakes still ask,
// so that the links can end.
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
