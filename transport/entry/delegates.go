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
	// Admit admits or refuses a request. The permit must be released exactly once.
	Admit(now time.Time, m snapshot.Match) (admit.Permit, *admit.Refusal)
}

// Balancer chooses a backend server. *balance.Picker is one.
type Balancer interface {
	// Pick chooses one of the records that excluded does not rule out. Done of the
	// choice must be called exactly once.
	Pick(now time.Time, s *model.Service, records []endpoint.Record, excluded *balance.Exclusions) (balance.Choice, error)
}

// Retrier decides whether a failed attempt is retried, within the retry budgets.
// *retry.Retrier is one.
type Retrier interface {
	// First credits the retry budget for a first attempt; an inherited one earns
	// nothing.
	First(m snapshot.Match, inherited bool)
	// Decide returns whether, when and where to retry after a failed attempt.
	Decide(now time.Time, m snapshot.Match, a retry.Attempt) retry.Decision
}

// Claimer ensures that a non-repeatable request with an idempotency key runs at most
// once.
type Claimer interface {
	// Begin claims the key for the organisation. The Claim is nil unless the verdict
	// is to proceed.
	Begin(ctx context.Context, organisation, key string, fp claim.Fingerprint) (Claim, ClaimVerdict)
}

// ClaimVerdict is the result of claiming a request's key. With the zero value the
// request proceeds.
type ClaimVerdict struct {
	// Replay is the stored response of an earlier request with the key, to be
	// returned in place of running the request.
	Replay *claim.Answer
	// Refusal is set if the request must not be sent.
	Refusal *claim.Refuse
}

// Claim is a request's claim on its idempotency key. Exactly one of Done, NotRun and
// Unknown must be called.
type Claim interface {
	// Dispatch is called right before each send. If it returns false, the claim is no
	// longer held and nothing may be sent.
	Dispatch() bool
	// Done stores the whole response, to be replayed to retries.
	Done(answer claim.Answer)
	// NotRun releases the key, because certainly nothing ran.
	NotRun()
	// Unknown leaves the key claimed, because the request may have run.
	Unknown()
}
