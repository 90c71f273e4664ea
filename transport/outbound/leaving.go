package outbound

import (
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// BeginShutdown makes the proxy refuse every new request whose deadline lies after end, the
// time at which the node stops: its response might not be finished by then.
func (p *Proxy) BeginShutdown(end time.Time) { p.shutdownEnd.Store(&end) }

// refuseAtShutdown returns a refusal for a request whose deadline lies after the end of the
// node's shutdown; nil where the request may be served.
func (x *exchange) refuseAtShutdown() *refusal {
	end := x.p.shutdownEnd.Load()
	if end == nil || !x.deadline.After(*end) {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: outcome.ReasonLeaving,
		retryAfter: attempt.RetryAfterShutdown(end.Sub(x.arrived), x.p.rand.Float64()),
	}
}
