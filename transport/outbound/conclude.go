package outbound

import (
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// prepareRetry reports whether another attempt is to be made, and takes what it needs from
// the retry budget and the quota.
func (x *exchange) prepareRetry() bool {
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
		return x.freeSlots || x.inTime(now)
	case attempt.Repeat:
		return x.repeat() && x.tokenForRepeat()
	default:
		return false
	}
}

// inTime reports whether the response can still be in time. After a refusal, a late request
// isn't sent to a further backend server, unless the one that refused it has free slots: the
// capacity of the others is left to requests that can be in time.
func (x *exchange) inTime(now time.Time) bool { return now.Before(x.due()) }

// conclude ends a request after its last unsuccessful attempt. It relays the error response
// of a backend server where there is one and returns nil, else it returns the refusal.
func (x *exchange) conclude() *refusal {
	if x.failure != nil {
		x.deliver(x.failure)
		return nil
	}
	worst, reason := x.trail.Worst()
	switch {
	case x.tooLarge():
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: outcome.ReasonTooLarge}
	case worst == outcome.NotRun:
		x.p.refusals.Record(uint64(x.fingerprint), x.firstArrival, x.callerDeadline())
		return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: x.retryAfter()}
	case !x.p.cfg.Now().Before(x.deadline):
		return &refusal{status: http.StatusGatewayTimeout, reason: outcome.ReasonDeadline}
	default:
		return &refusal{status: http.StatusBadGateway, reason: reason}
	}
}

// retryAfter returns the Retry-After delay for a refused request.
func (x *exchange) retryAfter() time.Duration {
	now := x.p.cfg.Now()
	switch _, reason := x.trail.Worst(); {
	case reason == outcome.ReasonQuarantined:
		return quarantine.RetryAfter
	case reason == outcome.ReasonNoEndpoint && now.Sub(x.p.started) < attempt.StartTime:
		return x.p.retryAfterStart(now)
	}
	return attempt.RetryAfter(attempt.Refused{
		Left:      x.callerDeadline().Sub(now),
		Due:       x.due().Sub(now),
		FreeSlots: x.freeSlots,
		LimitWait: x.limitWait,
		Load:      x.p.cfg.Balance.Load(x.service.Name),
		Jitter:    x.p.rand.Float64(),
	})
}
