package outbound

import (
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// Leave refuses from now on what may not be answered before the node ends.
func (p *Proxy) Leave(end time.Time) { p.end.Store(&end) }

// refuseLate refuses a request whose deadline is later than the node's end; nil refuses
// nothing.
func (x *exchange) refuseLate() *refusal {
	end := x.p.end.Load()
	if end == nil || !x.deadline.After(*end) {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: outcome.ReasonLeaving,
		after: attempt.RetryAfterShutdown(end.Sub(x.began), x.p.rand.Float64()),
	}
}
