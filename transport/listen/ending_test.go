package listen

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a log without the number of connections that a node has reset while it shut down.
func TestCloseStateCountsResetConnections(t *testing.T) {
	l, _ := listenWithBacklog(t, 3)
	must.Nil(t, l.CloseState())
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // before anything is accepted
	must.NoError(t, l.Drain(ctx))
	must.Eq(t, 3, l.CloseState().Backlog)
	must.Eq(t, 0, l.CloseState().SinceEmpty)
}

// Guards against a close long after the check of the backlog that doesn't show in the log.
func TestCloseStateHasTheTimeSinceTheBacklogCheck(t *testing.T) {
	l, _ := listenWithBacklog(t, 0)
	done := make(chan int, 1)
	go serve(l, done)
	must.NoError(t, l.Drain(t.Context()))
	must.Eq(t, 0, <-done)
	must.Eq(t, 0, l.CloseState().Backlog)
	must.Positive(t, l.CloseState().SinceEmpty)
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
	must.Eq(t, 0, l.CloseState().Backlog)
}
