// Package retry decides whether a request is sent again after a failed attempt.
//
// A request is retried only if it certainly did not run or its class is
// idempotent, if enough time is left before the deadline, and if the class's
// retry budget holds a token. First attempts earn tokens. A request that is
// itself a retry, or was made on behalf of one earlier in the call chain, earns
// none and is not retried again. So over a chain of h hops a budget of ratio r
// adds at most h*r to the load, not (1+r)^h-1.
package retry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/backoff"
	"github.com/jacinthgate/jacinthgate/coordination/random"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Retrier decides on retries and holds one node's retry budgets. It is safe for
// concurrent use; handling a request takes no lock.
type Retrier struct {
	cfg     Config
	rand    *random.Source
	budgets atomic.Pointer[map[budgetKey]*budget]
	share   atomic.Pointer[float64]

	mu sync.Mutex // held by Update only
}

// New returns a retrier without budgets.
func New(cfg Config, seed uint64) *Retrier {
	r := &Retrier{cfg: cfg, rand: random.New(seed)}
	r.budgets.Store(&map[budgetKey]*budget{})
	r.SetShare(1)
	return r
}

// SetShare sets the node's share, 0 to 1, of the fleet-wide MinPerSecond.
func (r *Retrier) SetShare(share float64) { r.share.Store(&share) }

// Attempt describes a failed attempt.
type Attempt struct {
	// Number is the number of this attempt at this node, from 1.
	Number int
	// Inherited says that the request arrived as a retry or on behalf of one
	// (outcome.HeaderAttempt).
	Inherited bool
	// Replayable says that the body can be sent again.
	Replayable bool
	// Left is the time left before the deadline.
	Left time.Duration
	// Outcome is the attempt's outcome.
	Outcome outcome.Outcome
	// Reason is why the attempt was not answered.
	Reason outcome.Reason
	// Unsent says that no byte of the request was sent, as when a connection
	// was refused.
	Unsent bool
	// Zone is the availability zone of the backend server that was tried.
	Zone model.Zone
}

// Stop is the reason why a request is not retried.
type Stop string

// The reasons to stop.
const (
	// StopNone means that the request is retried.
	StopNone Stop = ""
	// StopAnswered means that the request was answered.
	StopAnswered Stop = "answered"
	// StopUnsafe means that the request may have run and isn't idempotent.
	StopUnsafe Stop = "unsafe"
	// StopUseless means that another backend server would give the same answer.
	StopUseless Stop = "useless"
	// StopBody means that the body can't be sent again.
	StopBody Stop = "body"
	// StopAttempts means that the attempts are used up.
	StopAttempts Stop = "attempts"
	// StopInherited means that the request arrived as a retry or on behalf of
	// one.
	StopInherited Stop = "inherited"
	// StopOverload means that the server tried is overloaded and the class is
	// not urgent enough to add to the load.
	StopOverload Stop = "overload"
	// StopDeadline means that too little time is left before the deadline.
	StopDeadline Stop = "deadline"
	// StopBudget means that the retry budget is exhausted.
	StopBudget Stop = "budget"
)

// Decision is the action to take after a failed attempt.
type Decision struct {
	// Stop is why the request is not retried; StopNone to retry it.
	Stop Stop
	// After is the backoff before the retry.
	After time.Duration
	// AvoidZone is the availability zone that the retry must avoid; empty for
	// none.
	AvoidZone model.Zone
}

// First credits the budget of the request's class for a first attempt. inherited
// is as in Attempt; inherited requests earn nothing.
func (r *Retrier) First(m snapshot.Match, inherited bool) {
	if inherited || m.Class.RetryBudget == nil {
		return
	}
	if b := r.budget(m); b != nil {
		b.earn(&r.cfg, m.Class.RetryBudget.Ratio)
	}
}

// Decide decides what follows a failed attempt. A retry takes a token from the
// budget unless the attempt caused no work.
func (r *Retrier) Decide(now time.Time, m snapshot.Match, a Attempt) Decision {
	if stop := r.forbidden(m.Class, a); stop != StopNone {
		return Decision{Stop: stop}
	}
	d := Decision{}
	if !costless(a) {
		d.After = r.backoff(a.Number)
	}
	if overloaded(a.Reason) {
		d.AvoidZone = a.Zone
	}
	if a.Left < d.After+r.cfg.MinLeft {
		return Decision{Stop: StopDeadline}
	}
	if !costless(a) && !r.spend(now, m) {
		return Decision{Stop: StopBudget}
	}
	return d
}

// forbidden returns why the request may not be retried, regardless of the budget,
// the backoff and the deadline.
func (r *Retrier) forbidden(c *model.Class, a Attempt) Stop {
	switch {
	case a.Outcome == outcome.Answered:
		return StopAnswered
	case a.Outcome != outcome.NotRun && !c.Repeatable:
		return StopUnsafe
	case useless(a.Reason):
		return StopUseless
	case !a.Replayable && !a.Unsent:
		return StopBody
	case a.Number >= r.cfg.MaxAttempts:
		return StopAttempts
	case a.Inherited && !costless(a):
		return StopInherited
	case overloaded(a.Reason) && !urgent(c.Kind):
		return StopOverload
	}
	return StopNone
}

// backoff returns a random backoff for the retry that follows attempt n.
func (r *Retrier) backoff(n int) time.Duration {
	limit := backoff.Doubled(r.cfg.BackoffBase, r.cfg.BackoffMax, n-1)
	return time.Duration(r.rand.Float64() * float64(limit))
}

func (r *Retrier) budget(m snapshot.Match) *budget {
	return (*r.budgets.Load())[budgetKey{m.Contract.Organisation, m.Class.Name}]
}

func (r *Retrier) spend(now time.Time, m snapshot.Match) bool {
	b := r.budget(m)
	if b == nil || m.Class.RetryBudget == nil {
		return false
	}
	perSecond := m.Class.RetryBudget.MinPerSecond * *r.share.Load()
	return b.spend(now, &r.cfg, perSecond, r.rand.Float64())
}

// costless reports whether the attempt caused no work at the server tried: no
// byte was sent, or the gate refused it before admission. Sending it to another
// server multiplies no load, so it needs neither budget nor backoff; MaxAttempts
// limits it.
func costless(a Attempt) bool {
	if a.Outcome != outcome.NotRun {
		return false
	}
	return a.Unsent || a.Reason == outcome.ReasonDraining || a.Reason == outcome.ReasonWrongService
}

// overloaded reports whether the reason means that the server tried is overloaded.
func overloaded(r outcome.Reason) bool {
	return r == outcome.ReasonShed || r == outcome.ReasonQueueFull
}

// useless reports whether a retry is useless because another server could not do
// better.
func useless(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonRateLimited, outcome.ReasonConcurrency, outcome.ReasonDeadline,
		outcome.ReasonCancelled, outcome.ReasonLoop, outcome.ReasonMalformed,
		outcome.ReasonTooLarge, outcome.ReasonInProgress, outcome.ReasonPlatform,
		outcome.ReasonNoOrganisation, outcome.ReasonNoRoute, outcome.ReasonNoEndpoint,
		outcome.ReasonQuarantined:
		return true
	}
	return false
}

// urgent reports whether requests of the kind are retried under overload.
func urgent(k model.ClassKind) bool {
	return k == model.KindNonRepeatable || k == model.KindInteractive
}
