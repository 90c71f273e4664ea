package gate

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// waitedError is the cause of a wait that ended at its bound.
type waitedError struct{}

// Error implements error.
func (*waitedError) Error() string { return "no slot became free in time" }

var errWaited error = new(waitedError)

// Enter takes a slot for a request, waiting for one while it can still be
// answered when it is due, or until the end of ctx, which should end at the
// deadline. On an empty reason the caller holds a slot and must call Release.
// clock is read at the start and when a slot is given back unused.
func (g *Gate) Enter(ctx context.Context, r Request, clock func() time.Time) outcome.Reason {
	now := clock()
	if g.elsewhere(r, now) {
		return outcome.ReasonHostSlow
	}
	if g.Try(r, now) {
		return ""
	}
	settled := make(chan outcome.Reason, 1)
	w := &Waiter{Request: r, Settle: func(reason outcome.Reason) { settled <- reason }}
	acquired, reason := g.Acquire(w, now)
	if acquired || reason != "" {
		return reason
	}
	if !w.until.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, w.until, errWaited)
		defer cancel()
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
		g.Release(w.Request.Work, 0, clock())
	}
	if errors.Is(context.Cause(ctx), errWaited) {
		return outcome.ReasonQueueFull
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonCancelled
}
