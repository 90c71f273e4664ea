// Package retry decides whether a failed attempt is sent again.
//
// A retry needs a certain not-run or a class that is idempotent, time left
// before the deadline and a token of the class's budget. First attempts earn
// tokens; a request that is itself a retry, or was made on behalf of one
// further up, earns none and is not retried again. So over a chain of h hops a
// budget of ratio r adds at most h*r to the load, not (1+r)^h-1.
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

// Retrier decides on retries and keeps the budgets of one node. It is safe for
// concurrent use and takes no lock on the path of a request.
type Retrier struct {
	cfg     Config
	rand    *random.Source
	budgets atomic.Pointer[map[budgetKey]*budget]
	part    atomic.Pointer[float64]

	mu sync.Mutex // held by Update only
}

// New returns a retrier without budgets.
func New(cfg Config, seed uint64) *Retrier {
	r := &Retrier{cfg: cfg, rand: random.New(seed)}
	r.budgets.Store(&map[budgetKey]*budget{})
	r.SetPart(1)
	return r
}

// SetPart sets the node's part, 0 to 1, of the fleet-wide MinPerSecond.
func (r *Retrier) SetPart(part float64) { r.part.Store(&part) }

// Attempt is one attempt that failed.
type Attempt struct {
	// Number counts the attempts at this node, from 1.
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
	// Reason is why it was not answered.
	Reason outcome.Reason
	// Unsent says that no byte of the request was sent, as when a connection
	// was refused.
	Unsent bool
	// Zone is the zone of the server tried.
	Zone model.Zone
}

// Stop is why there is no retry.
type Stop string

// The reasons to stop.
const (
	// StopNone means that there is a retry.
	StopNone Stop = ""
	// StopAnswered means that there is an answer.
	StopAnswered Stop = "answered"
	// StopUnsafe means that the request may have run and isn't idempotent.
	StopUnsafe Stop = "unsafe"
	// StopUseless means that another server would answer the same.
	StopUseless Stop = "useless"
	// StopBody means that the body can't be sent again.
	StopBody Stop = "body"
	// StopAttempts means that the attempts are used up.
	StopAttempts Stop = "attempts"
	// StopInherited means that the request was a retry already.
	StopInherited Stop = "inherited"
	// StopOverload means that the class is not urgent enough to add to an
	// overload.
	StopOverload Stop = "overload"
	// StopDeadline means that too little time is left.
	StopDeadline Stop = "deadline"
	// StopBudget means that the budget is used up.
	StopBudget Stop = "budget"
)

// Decision is what to do after a failed attempt.
type Decision struct {
	// Stop is why there is no retry; StopNone to retry.
	Stop Stop
	// After is how long to wait before the retry.
	After time.Duration
	// AvoidZone is the zone that the retry must not go to; empty for none.
	AvoidZone model.Zone
}

// First counts a first attempt. inherited is as in Attempt.
func (r *Retrier) First(m snapshot.Match, inherited bool) {
	if inherited || m.Class.RetryBudget == nil {
		return
	}
	if b := r.budget(m); b != nil {
		b.earn(&r.cfg, m.Class.RetryBudget.Ratio)
	}
}

// Decide decides what follows a failed attempt. A retry takes from the budget
// unless the attempt cost nothing.
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

// forbidden returns why the attempt may not be repeated whatever the budget.
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

// backoff draws the wait before the retry that follows attempt n.
func (r *Retrier) backoff(n int) time.Duration {
	longest := backoff.Doubled(r.cfg.BackoffBase, r.cfg.BackoffMax, n-1)
	return time.Duration(r.rand.Float64() * float64(longest))
}

func (r *Retrier) budget(m snapshot.Match) *budget {
	return (*r.budgets.Load())[budgetKey{m.Contract.Organisation, m.Class.Name}]
}

func (r *Retrier) spend(now time.Time, m snapshot.Match) bool {
	b := r.budget(m)
	if b == nil || m.Class.RetryBudget == nil {
		return false
	}
	perSecond := m.Class.RetryBudget.MinPerSecond * *r.part.Load()
	return b.spend(now, &r.cfg, perSecond, r.rand.Float64())
}

// costless reports whether the attempt was refused without work: no byte was
// sent, or the gate refused it at the door. Moving on to another server adds
// no load there, so it needs no budget and no wait; MaxAttempts bounds it.
func costless(a Attempt) bool {
	if a.Outcome != outcome.NotRun {
		return false
	}
	return a.Unsent || a.Reason == outcome.ReasonDraining || a.Reason == outcome.ReasonWrongService
}

// overloaded reports whether the reason tells of overload where it was tried.
func overloaded(r outcome.Reason) bool {
	return r == outcome.ReasonShed || r == outcome.ReasonQueueFull
}

// useless reports whether another server could not do better.
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

func urgent(k model.ClassKind) bool {
	return k == model.KindNonRepeatable || k == model.KindInteractive
}
