package gate

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Enter takes a slot for a request, waiting for one until the deadline or until
// ctx ends. On an empty reason the caller holds a slot and must call Release.
// clock is read at the start and when a slot is given back unused.
func (g *Gate) Enter(ctx context.Context, kind model.ClassKind, deadline time.Time, clock func() time.Time) outcome.Reason {
	now := clock()
	if g.Try(kind, deadline, now) {
		return ""
	}
	settled := make(chan outcome.Reason, 1)
	w := &Waiter{Kind: kind, Deadline: deadline}
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
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonCancelled
}
