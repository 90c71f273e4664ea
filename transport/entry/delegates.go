package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// Admitter decides whether a request fits the customer's limits. It is safe
// for concurrent use and takes no global lock.
type Admitter interface {
	// Admit returns nil when the request may go on; Release must then be
	// called once. deadline is the request's.
	Admit(m *snapshot.Match, now, deadline time.Time) *forward.Refusal
	// Release returns what Admit took.
	Release(m *snapshot.Match, now time.Time)
}

// Feedback is what one attempt showed of a backend server.
type Feedback struct {
	// Service is the service that was asked for.
	Service string
	// Node is the host's node.
	Node model.NodeID
	// Elapsed is the attempt's duration to the response's end.
	Elapsed time.Duration
	// Outcome is the attempt's own outcome.
	Outcome outcome.Outcome
	// Reason tells why it was not answered.
	Reason outcome.Reason
	// Status is the HTTP status; 0 without a response.
	Status int
	// Load is the gate's load; its Slots are 0 when it was not reported.
	Load Load
}

// Balancer chooses a backend server. It is safe for concurrent use.
type Balancer interface {
	// Pick returns the record to send to and counts a request in flight to
	// it; Done must then be called once. It returns nil when no record may
	// take the request. tried are the nodes of earlier attempts.
	Pick(service *model.Service, records []endpoint.Record, tried []model.NodeID, now time.Time) *endpoint.Record
	// Done reports the end of an attempt.
	Done(f Feedback, now time.Time)
}

// Retrier keeps the retry budgets. It is safe for concurrent use.
type Retrier interface {
	// First counts a first attempt.
	First(m *snapshot.Match, now time.Time)
	// Retry reports whether retry number n (from 1) may be sent and how long
	// to wait before. It takes from the budget.
	Retry(m *snapshot.Match, n int, now, deadline time.Time) (wait time.Duration, ok bool)
}

// Claimer makes requests with an idempotency key run at most once.
type Claimer interface {
	// Claim is called before a non-repeatable request is sent. A nil refusal
	// lets it run; Settle must then be called once.
	Claim(ctx context.Context, m *snapshot.Match, r *http.Request) (ClaimToken, *forward.Refusal)
	// Settle reports how the claimed request ended. status is 0 without a
	// response.
	Settle(ctx context.Context, token ClaimToken, out outcome.Outcome, status int)
}

// ClaimToken is what a Claimer needs to settle a claim.
type ClaimToken any
