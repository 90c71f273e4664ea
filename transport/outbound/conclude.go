package outbound

import (
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// again reports whether another attempt is made.
func (x *exchange) again() bool {
	if x.ctx.Err() != nil {
		return false
	}
	if !x.body.reclaim() {
		return false
	}
	now := x.p.cfg.Now()
	x.trail.Progress.Left = x.deadline.Sub(now)
	switch x.p.cfg.Policy.Next(x.trail.Progress) {
	case attempt.Resend:
		return x.room || x.inTime(now)
	case attempt.Repeat:
		return x.repeat() && x.tokenForRepeat()
	default:
		return false
	}
}

// inTime reports whether the answer can still be in time. One that can't looks for room
// at one backend server only and leaves what others have to requests that aren't late.
func (x *exchange) inTime(now time.Time) bool { return now.Before(x.due()) }

// conclude answers a request that no attempt has answered. Nil means that a
// backend server's own failure was passed on.
func (x *exchange) conclude() *refusal {
	if x.failure != nil {
		x.deliver(x.failure)
		return nil
	}
	worst, reason := x.trail.Worst()
	switch {
	case worst == outcome.NotRun:
		x.p.returns.Record(uint64(x.fingerprint), x.first, x.until())
		return &refusal{status: http.StatusServiceUnavailable, reason: reason, after: x.comeBack()}
	case !x.p.cfg.Now().Before(x.deadline):
		return &refusal{status: http.StatusGatewayTimeout, reason: outcome.ReasonDeadline}
	default:
		return &refusal{status: http.StatusBadGateway, reason: reason}
	}
}

// comeBack returns when a refused caller should come back.
func (x *exchange) comeBack() time.Duration {
	now := x.p.cfg.Now()
	switch _, reason := x.trail.Worst(); {
	case reason == outcome.ReasonQuarantined:
		return quarantine.RetryAfter
	case reason == outcome.ReasonNoEndpoint && now.Sub(x.p.started) < attempt.StartTime:
		return x.p.comeBackToStart(now)
	}
	return attempt.RetryAfter(attempt.Refused{
		Left:      x.until().Sub(now),
		Due:       x.due().Sub(now),
		FreeSlots: x.room,
		Load:      x.p.cfg.Balance.Load(x.service.Name),
		Jitter:    x.p.rand.Float64(),
	})
}
