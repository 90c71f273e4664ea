package entry

import (
	"context"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/admit"
	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/coordination/retry"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Admitter decides whether a request fits the organisation's limits.
// *admit.Limiter is one.
type Admitter interface {
	// Admit lets a request in or refuses it. The permit is released once.
	Admit(now time.Time, m snapshot.Match) (admit.Permit, *admit.Refusal)
}

// Balancer chooses a backend server. *balance.Picker is one.
type Balancer interface {
	// Pick chooses among the records; Done of the choice is called once.
	Pick(now time.Time, s *model.Service, records []endpoint.Record, tried *balance.Exclusions) (balance.Choice, error)
}

// Retrier decides on retries and keeps their budgets. *retry.Retrier is one.
type Retrier interface {
	// First counts a first attempt.
	First(m snapshot.Match, inherited bool)
	// Decide decides what follows a failed attempt.
	Decide(now time.Time, m snapshot.Match, a retry.Attempt) retry.Decision
}

// Claimer makes non-repeatable requests with an idempotency key run at most
// once.
type Claimer interface {
	// Begin claims the key. The Claim is nil unless the verdict is to proceed.
	Begin(ctx context.Context, organisation, key string, fp claim.Fingerprint) (Claim, ClaimVerdict)
}

// ClaimVerdict says what to do with a request. The zero value is to proceed.
type ClaimVerdict struct {
	// Replay is the answer of an earlier request with the key.
	Replay *claim.Answer
	// Refusal is set when the request must not be sent.
	Refusal *claim.Refuse
}

// Claim is one request that holds its key. Exactly one of Done, NotRun and
// Unknown is called.
type Claim interface {
	// Dispatch is called right before each send; on false nothing is sent.
	Dispatch() bool
	// Done keeps the whole answer for repeats.
	Done(answer claim.Answer)
	// NotRun gives the key back: certainly nothing ran.
	NotRun()
	// Unknown leaves the key claimed.
	Unknown()
}
