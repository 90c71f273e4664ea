package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// AdmitAll is an Admitter without limits.
type AdmitAll struct{}

// Admit implements Admitter.
func (AdmitAll) Admit(*snapshot.Match, time.Time, time.Time) *forward.Refusal { return nil }

// Release implements Admitter.
func (AdmitAll) Release(*snapshot.Match, time.Time) {}

// RandomBalancer picks any record that was not tried yet.
type RandomBalancer struct{}

// Pick implements Balancer.
func (RandomBalancer) Pick(_ *model.Service, records []endpoint.Record, tried []model.NodeID, _ time.Time) *endpoint.Record {
	if len(records) == 0 {
		return nil
	}
	start := rand.IntN(len(records))
	for i := range records {
		r := &records[(start+i)%len(records)]
		if !slices.Contains(tried, r.Node) {
			return r
		}
	}
	return nil
}

// Done implements Balancer.
func (RandomBalancer) Done(Feedback, time.Time) {}

// NoRetry never retries.
type NoRetry struct{}

// First implements Retrier.
func (NoRetry) First(*snapshot.Match, time.Time) {}

// Retry implements Retrier.
func (NoRetry) Retry(*snapshot.Match, int, time.Time, time.Time) (time.Duration, bool) {
	return 0, false
}

// NoClaim sends each request once and keeps no claims: a caller that repeats
// its request after an unknown outcome may run it twice.
type NoClaim struct{}

// Claim implements Claimer.
func (NoClaim) Claim(context.Context, *snapshot.Match, *http.Request) (ClaimToken, *forward.Refusal) {
	return nil, nil
}

// Settle implements Claimer.
func (NoClaim) Settle(context.Context, ClaimToken, outcome.Outcome, int) {}
