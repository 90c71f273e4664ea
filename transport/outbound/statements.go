package outbound

import (
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/serverlimit"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// observeStatements records what a backend server states about itself in its response to an
// attempt that was sent at the given time. A statement that can't be parsed has no effect; the
// gate logs it.
func (x *exchange) observeStatements(choice balance.Choice, h http.Header, sent time.Time) {
	if leaving, err := x.p.cfg.Dialect.Leaving(h); err == nil && leaving {
		x.p.cfg.Leaving(choice.Record.Instance)
	}
	perSecond, stated, err := x.p.cfg.Dialect.Limit(h)
	if err != nil {
		return
	}
	r := serverlimit.Response{Stated: stated, PerSecond: perSecond, Conclusive: x.p.cfg.Dialect.Signed(h), Sent: sent}
	x.p.limits.Observe(choice.Record.Instance, r, x.p.cfg.Now())
}

// addLimitHint tells the gate what this node knows of its backend server's rate limit, which the
// gate doesn't know after a restart.
func (x *exchange) addLimitHint(to *endpoint.Record, h http.Header, now time.Time) {
	if hint, found := x.p.limits.Hint(to.Instance, now); found {
		h[outcome.HeaderStatedLimit] = []string{hint.String()}
	}
}

// maxQueueTime is the longest time for which a request may be worth queueing at a gate whose
// backend server's rate limit is used up. A server that is expected to accept one later than
// that gets none until then.
const maxQueueTime = 250 * time.Millisecond

// limitReached records a refusal because of the backend server's rate limit, and holds back
// further requests to it while they would be refused as well.
func (x *exchange) limitReached(h http.Header, result *balance.Result) {
	millis, given, err := forward.HeaderInt(h, outcome.HeaderLimitWait)
	if err != nil || !given {
		return // the request is retried elsewhere, and the Retry-After delay is the usual one
	}
	wait := time.Duration(millis) * time.Millisecond
	x.noteLimitWait(wait)
	result.Hold = max(0, wait-maxQueueTime)
}

// noteLimitWait records when a backend server is expected to accept another request.
func (x *exchange) noteLimitWait(wait time.Duration) {
	if !x.refusedOtherwise && (x.limitWait == 0 || wait < x.limitWait) {
		x.limitWait = wait
	}
}

// noteOtherRefusal records a refusal for another reason than a rate limit: that server may accept
// a request sooner than the limits of the others allow one.
func (x *exchange) noteOtherRefusal() { x.limitWait, x.refusedOtherwise = 0, true }
