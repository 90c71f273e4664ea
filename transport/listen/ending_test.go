package listen

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a log that doesn't tell which connections a leaving node has reset.
func TestEndingTellsWhatWasReset(t *testing.T) {
	l, _ := waiting(t, 3)
	must.Nil(t, l.Ending())
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // nobody accepts until then
	must.NoError(t, l.Drain(ctx))
	must.Eq(t, 3, l.Ending().Waiting)
	must.Eq(t, 0, l.Ending().SinceLook)
}

// Guards against a close that comes long after the look and doesn't say so.
func TestEndingTellsTheTimeSinceTheLook(t *testing.T) {
	l, _ := waiting(t, 0)
	done := make(chan int, 1)
	go serve(l, done)
	must.NoError(t, l.Drain(t.Context()))
	must.Eq(t, 0, <-done)
	must.Eq(t, 0, l.Ending().Waiting)
	must.Positive(t, l.Ending().SinceLook)
}

// Guards against connections that are reset at the end of the time to drain although they have waited
// before it.
func TestConnectionsThatWaitAtTheEndOfADrainAreTaken(t *testing.T) {
	l, _ := waiting(t, 50)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	done := make(chan int, 1)
	go serve(l, done)
	must.NoError(t, l.Drain(ctx))
	must.Eq(t, 50, <-done)
	must.Eq(t, 0, l.Ending().Waiting)
}
