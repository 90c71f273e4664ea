package listen

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a log without the number of connections that a node has reset while it shut down.
func TestEndingCountsResetConnections(t *testing.T) {
	l, _ := listenWithBacklog(t, 3)
	must.Nil(t, l.Ending())
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // before anything is accepted
	must.NoError(t, l.Drain(ctx))
	must.Eq(t, 3, l.Ending().Waiting)
	must.Eq(t, 0, l.Ending().SinceLook)
}

// Guards against a close long after the check of the backlog that doesn't show in the log.
func TestEndingHasTheTimeSinceTheBacklogCheck(t *testing.T) {
	l, _ := listenWithBacklog(t, 0)
	done := make(chan int, 1)
	go serve(l, done)
	must.NoError(t, l.Drain(t.Context()))
	must.Eq(t, 0, <-done)
	must.Eq(t, 0, l.Ending().Waiting)
	must.Positive(t, l.Ending().SinceLook)
}

// Guards against a reset of connections that were already in the backlog when the drain's context
// ended.
func TestBacklogIsAcceptedWhenTheContextOfADrainEnds(t *testing.T) {
	l, _ := listenWithBacklog(t, 50)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	done := make(chan int, 1)
	go serve(l, done)
	must.NoError(t, l.Drain(ctx))
	must.Eq(t, 50, <-done)
	must.Eq(t, 0, l.Ending().Waiting)
}
