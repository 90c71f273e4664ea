package gate

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// waitedError is the cause of a wait that ended at its bound.
type waitedError struct{}

// Error implements error.
func (*waitedError) Error() string { return "no slot became free in time" }

var errWaited error = new(waitedError)

// Enter takes a slot for a request, waiting for one until the given time or the
// end of ctx, which should end at the deadline. A zero until is no bound. On an empty reason the
// caller holds a slot and must call Release. clock is read at the start and
// when a slot is given back unused.
func (g *Gate) Enter(ctx context.Context, kind model.ClassKind, deadline, until time.Time, clock func() time.Time) outcome.Reason {
	now := clock()
	if g.Try(kind, deadline, now) {
		return ""
	}
	if !until.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, until, errWaited)
		defer cancel()
	}
	settled := make(chan outcome.Reason, 1)
	w := &Waiter{Kind: kind, Deadline: deadline, Until: until}
	w.Settle = func(reason outcome.Reason) { settled <- reason }
	acquired, reason := g.Acquire(w, now)
	if acquired || reason != "" {
		return reason
	}
	return g.wait(ctx, w, settled, clock)
}

// wait waits until the request is settled or ctx ends.
func (g *Gate) wait(ctx context.Context, w *Waiter, settled <-chan outcome.Reason, clock func() time.Time) outcome.Reason {
	select {
	case reason := <-settled:
		return reason
	case <-ctx.Done():
	}
	if !g.Cancel(w) && <-settled == "" {
		g.Release(w.Kind, 0, clock())
	}
	if errors.Is(context.Cause(ctx), errWaited) {
		return outcome.ReasonQueueFull
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonCancelled
}
