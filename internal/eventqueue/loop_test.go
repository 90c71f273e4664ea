package eventqueue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
)

// links is a Links that delivers no events.
type links chan core.Event

// Events implements Links.
func (l links) Events() <-chan core.Event { return l }

// A handshake with a peer calls the loop for the contents of its messages, possibly
// while the node shuts down. The links wait for the handshake and the loop for the
// links, so a call that is never run blocks shutdown. The soak test showed this with
// seed 3006: a node still ran 8 s after SIGTERM.
func TestLoopRunsCallsUntilLinksHaveEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		linksDone := make(chan struct{})
		q := New(1)
		l := Loop{
			Queue: q, Links: make(links), LinksDone: linksDone, Flush: time.NewTimer(time.Hour),
			Step: func(core.Event) {}, OnTick: func(time.Time) {},
		}
		ended := make(chan struct{})
		go func() {
			l.Run(ctx)
			close(ended)
		}()
		cancel()
		synctest.Wait()
		answered, ran := Ask(t.Context(), q, func() bool { return true })
		must.True(t, ran)
		must.True(t, answered)
		for range 3 { // more than the queue's capacity
			q.Post(t.Context(), core.Tick{})
		}
		close(linksDone)
		<-ended
	})
}
