package gate

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// waitBoundError is the context cause of a wait that reached its bound.
type waitBoundError struct{}

// Error implements error.
func (*waitBoundError) Error() string { return "no slot became free in time" }

var errWaitBound error = new(waitBoundError)

// Enter takes a slot for a request. If none is free, it waits until the
// request's wait bound, after which the request would be late, or until ctx ends,
// which should be at the deadline. If it returns no reason, the caller holds a
// slot and must call Release. clock is read at the start, and when a slot that
// was granted too late is released unused.
func (g *Gate) Enter(ctx context.Context, r Request, clock func() time.Time) outcome.Reason {
	now := clock()
	if g.shouldReroute(r, now) {
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
	if !w.waitUntil.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, w.waitUntil, errWaitBound)
		defer cancel()
	}
	return g.wait(ctx, w, settled, clock)
}

// wait waits until the request is settled or ctx ends.
func (g *Gate) wait(ctx context.Context, w *Waiter, settled <-chan outcome.Reason, clock func() time.Time) outcome.Reason {
	for waiting := true; waiting; {
		token, stop := g.tokenTimer(clock())
		select {
		case reason := <-settled:
			stop()
			return reason
		case <-token:
			g.grantByRate(clock())
		case <-ctx.Done():
			waiting = false
		}
		stop()
	}
	if !g.Cancel(w) && <-settled == "" {
		g.Release(w.Request.Work, 0, clock())
	}
	if errors.Is(context.Cause(ctx), errWaitBound) {
		return g.waitReason(clock())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonCancelled
}

// maxTokenWait bounds the time between two looks at the rate limits while a request waits: they
// may have changed.
const maxTokenWait = 100 * time.Millisecond

// tokenTimer returns a channel that fires when the rate limits may allow the next request, and
// what releases its timer. The channel never fires if they don't delay one.
func (g *Gate) tokenTimer(now time.Time) (fires <-chan time.Time, stop func()) {
	wait := g.rateWait(1, now)
	if wait <= 0 {
		return nil, func() {}
	}
	t := time.NewTimer(min(wait+time.Millisecond, maxTokenWait))
	return t.C, func() { t.Stop() }
}

// grantByRate grants slots to the queued requests that the rate limits allow by now.
func (g *Gate) grantByRate(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grant(now)
}
