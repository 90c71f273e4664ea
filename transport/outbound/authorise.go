package outbound

import (
	"context"
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/route"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// Quotas enforces the request quotas of organisations. Implementations are safe for
// concurrent use.
type Quotas interface {
	// Take takes a token for one request of an organisation that has a quota. It may wait
	// for other nodes until ctx ends. Where the quota is used up it returns false and the
	// Retry-After delay. late reports whether the request can only be answered after its
	// target: it is then given no token that a request still in time would lack.
	Take(ctx context.Context, o *route.Organisation, late bool) (retryAfter time.Duration, ok bool)
	// Return gives back a token whose request was not run.
	Return(o *route.Organisation)
}

// Freshness is the proof that the configuration in force is recent, so that requests may be
// authorised by the keys in it.
type Freshness interface {
	// Left returns for how long the configuration in force is still proved to be recent
	// enough for requests that show a key; 0 or less when it isn't.
	Left() time.Duration
	// Recent reports whether the configuration is proved to be the newest one, except for
	// changes of the last moments: a key that is missing in it is then unknown.
	Recent() bool
}

// authorise returns the organisation that the request's key belongs to, or a refusal where
// the request may not be served. Both are nil where no key is needed and no known one is
// shown.
func (p *Proxy) authorise(r *http.Request, t *route.Table, found *route.Route) (*route.Organisation, *refusal) {
	if !t.RequiresKey() {
		return nil, nil
	}
	o := t.Organisation(p.cfg.Dialect.Key(r.Header))
	switch {
	case found.Anonymous:
		return o, nil
	case p.cfg.Freshness != nil && p.cfg.Freshness.Left() <= 0:
		return nil, p.unproved()
	case o != nil:
		return o, nil
	case p.cfg.Freshness != nil && !p.cfg.Freshness.Recent():
		// The key may belong to a newer configuration: callers don't retry after "unknown
		// key", but they do after a refusal with Retry-After.
		return nil, p.unproved()
	}
	return nil, &refusal{status: http.StatusUnauthorized, reason: outcome.ReasonUnknownKey}
}

// unproved returns the refusal for a request that can't be authorised because the
// configuration isn't proved to be recent.
func (p *Proxy) unproved() *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, reason: outcome.ReasonUnproved,
		retryAfter: attempt.RetryAfterUnproved(p.rand.Float64()),
	}
}

// authoriseAgain checks whether the request may be sent now, and returns the reason if not. Since
// it was authorised, its key may have been revoked or given to another organisation, under which
// it is sent then, or the proof of the configuration may have expired.
func (x *exchange) authoriseAgain() outcome.Reason {
	t := x.p.cfg.Table()
	if x.route.Anonymous || !t.RequiresKey() {
		return ""
	}
	if x.p.cfg.Freshness != nil && x.p.cfg.Freshness.Left() <= 0 {
		return outcome.ReasonUnproved
	}
	o := t.Organisation(x.p.cfg.Dialect.Key(x.r.Header))
	switch {
	case o == nil:
		return outcome.ReasonUnproved
	case x.organisation == nil || o.Name == x.organisation.Name:
		return ""
	}
	x.organisation = o
	if x.limited() {
		if _, ok := x.charge(); !ok {
			return outcome.ReasonRateLimited
		}
	}
	return ""
}

// takeToken takes a token from the organisation's quota. It returns a refusal where the
// quota is used up.
func (x *exchange) takeToken() *refusal {
	if !x.limited() {
		return nil
	}
	retryAfter, ok := x.charge()
	if ok {
		return nil
	}
	if x.firstArrival.Equal(x.arrived) {
		x.p.refusals.Record(uint64(x.fingerprint), x.firstArrival, x.callerDeadline())
	}
	return &refusal{status: http.StatusTooManyRequests, reason: outcome.ReasonRateLimited, retryAfter: retryAfter}
}

// charge charges one run to the organisation's quota. Where the quota is used up it returns
// the Retry-After delay and false.
func (x *exchange) charge() (retryAfter time.Duration, ok bool) {
	return x.p.cfg.Quotas.Take(x.ctx, x.organisation, !x.inTime(x.p.cfg.Now()))
}

// returnToken gives back the token of a request that no backend server has run.
func (x *exchange) returnToken() {
	if worst, _ := x.trail.Worst(); worst == outcome.NotRun && x.failure == nil && x.limited() {
		x.p.cfg.Quotas.Return(x.organisation)
	}
}

// tokenForRepeat reports whether the quota allows another attempt. An attempt that may have
// run has used its token, so the next one takes a new token.
func (x *exchange) tokenForRepeat() bool {
	if x.trail.Progress.Last == outcome.NotRun || !x.limited() {
		return true
	}
	_, ok := x.charge()
	return ok
}

// limited reports whether the request is subject to a quota.
func (x *exchange) limited() bool {
	return x.p.cfg.Quotas != nil && x.organisation != nil && x.organisation.Quota != nil
}

// rank returns the request's priority: that of its organisation where it has one, else the
// route's.
func (x *exchange) rank() int {
	if o := x.organisation; o != nil && o.Priority != nil {
		return *o.Priority
	}
	return x.route.Priority
}

// replaceKey replaces the caller's key, which never leaves the node, by the name of its
// organisation.
func (x *exchange) replaceKey(h http.Header) {
	if !x.keyed {
		return
	}
	x.p.cfg.Dialect.StripKey(h)
	h[outcome.HeaderFingerprint] = []string{x.fingerprint.String()} // it covers the key, which the gate doesn't get
	if x.organisation != nil {
		h[outcome.HeaderOrganisation] = []string{x.organisation.Name}
	}
	if x.p.cfg.Freshness != nil && !x.route.Anonymous {
		x.boundStart(h)
	}
}

// boundStart sends the gate the time, in milliseconds, within which the request must be
// handed to the backend server, where the proof of its key expires before its deadline.
func (x *exchange) boundStart(h http.Header) {
	left := x.p.cfg.Freshness.Left()
	if left < x.deadline.Sub(x.p.cfg.Now()) {
		h[outcome.HeaderStartWithin] = []string{forward.Millis(left)}
	}
}
