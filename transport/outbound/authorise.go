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

// Quotas lets requests in by the quotas of organisations. Implementations are safe for
// concurrent use.
type Quotas interface {
	// Take takes a token for one request of an organisation that has a quota. It may wait
	// for other nodes until ctx ends. Where the quota is used up it returns false and when
	// to come back. late says that the request can only be answered late: it gets none
	// that one which can be in time would miss.
	Take(ctx context.Context, o *route.Organisation, late bool) (after time.Duration, ok bool)
	// Return gives a token back that was not used: the request was not run.
	Return(o *route.Organisation)
}

// Currency tells how long what this node knows may still be acted on.
type Currency interface {
	// Left returns for how long the configuration in force is still proved to be recent
	// enough for requests that show a key; 0 or less when it isn't.
	Left() time.Duration
	// Recent reports whether the configuration is proved to be the newest but for what
	// changed in the last moments: a key that it doesn't hold is then unknown.
	Recent() bool
}

// authorise finds the organisation of a request that has to show a key, and refuses one
// that may not be served. The organisation is nil where no key is needed.
func (p *Proxy) authorise(r *http.Request, t *route.Table, found *route.Route) (*route.Organisation, *refusal) {
	if !t.Keyed() {
		return nil, nil
	}
	o := t.Organisation(p.cfg.Dialect.Key(r.Header))
	switch {
	case found.Anonymous:
		return o, nil
	case p.cfg.Currency != nil && p.cfg.Currency.Left() <= 0:
		return nil, p.unproved()
	case o != nil:
		return o, nil
	case p.cfg.Currency != nil && !p.cfg.Currency.Recent():
		// The key may be one of a newer configuration: a caller that is told that its key
		// is unknown doesn't come back, one that is told to wait does.
		return nil, p.unproved()
	}
	return nil, &refusal{status: http.StatusUnauthorized, reason: outcome.ReasonUnknownKey}
}

// unproved refuses a request because the configuration isn't proved to be current.
func (p *Proxy) unproved() *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, reason: outcome.ReasonUnproved,
		after: attempt.RetryAfterUnproved(p.rand.Float64()),
	}
}

// stillAuthorised reports whether the request may be sent now. A request may have waited:
// its key may have been taken away meanwhile, or the proof that it wasn't may have ended.
func (x *exchange) stillAuthorised() bool {
	t := x.p.cfg.Table()
	if x.route.Anonymous || !t.Keyed() {
		return true
	}
	if x.p.cfg.Currency != nil && x.p.cfg.Currency.Left() <= 0 {
		return false
	}
	return t.Organisation(x.p.cfg.Dialect.Key(x.r.Header)) != nil
}

// takeToken takes a token of the organisation's quota for the request.
func (x *exchange) takeToken() *refusal {
	if !x.limited() {
		return nil
	}
	after, ok := x.charge()
	if ok {
		return nil
	}
	if x.first.Equal(x.began) {
		x.p.returns.Record(uint64(x.fingerprint), x.first, x.until())
	}
	return &refusal{status: http.StatusTooManyRequests, reason: outcome.ReasonRateLimited, after: after}
}

// charge charges one run to the organisation's quota.
func (x *exchange) charge() (after time.Duration, ok bool) {
	return x.p.cfg.Quotas.Take(x.ctx, x.organisation, !x.inTime(x.p.cfg.Now()))
}

// returnToken gives the token back of a request that no backend server has run.
func (x *exchange) returnToken() {
	if worst, _ := x.trail.Worst(); worst == outcome.NotRun && x.failure == nil && x.limited() {
		x.p.cfg.Quotas.Return(x.organisation)
	}
}

// tokenForRepeat reports whether the quota lets the request run once more after an attempt
// that may have run.
func (x *exchange) tokenForRepeat() bool {
	if x.trail.Progress.Last == outcome.NotRun || !x.limited() {
		return true
	}
	_, ok := x.charge()
	return ok
}

// limited reports whether a quota bounds the request.
func (x *exchange) limited() bool {
	return x.p.cfg.Quotas != nil && x.organisation != nil && x.organisation.Quota != nil
}

// rank returns the request's importance: its organisation's where that has one.
func (x *exchange) rank() int {
	if o := x.organisation; o != nil && o.Priority != nil {
		return *o.Priority
	}
	return x.route.Priority
}

// nameOrganisation puts the name of the organisation in the place of the key, which
// never leaves the node.
func (x *exchange) nameOrganisation(h http.Header) {
	if !x.keyed {
		return
	}
	x.p.cfg.Dialect.StripKey(h)
	h[outcome.HeaderFingerprint] = []string{x.fingerprint.String()} // it covers the key
	if x.organisation != nil {
		h[outcome.HeaderOrganisation] = []string{x.organisation.Name}
	}
	if x.p.cfg.Currency != nil && !x.route.Anonymous {
		x.boundStart(h)
	}
}

// boundStart tells the gate until when the request may be handed to the backend server,
// where the proof of its key ends before its deadline does.
func (x *exchange) boundStart(h http.Header) {
	left := x.p.cfg.Currency.Left()
	if left < x.deadline.Sub(x.p.cfg.Now()) {
		h[outcome.HeaderStartWithin] = []string{forward.Millis(left)}
	}
}
