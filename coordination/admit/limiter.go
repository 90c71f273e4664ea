// Package admit is a node's admission control. It admits or refuses a request by
// the rate and concurrency limits of the organisation's contract and of the
// request's class, by the reserves and weights of the classes, and by the node's
// own limit of requests in flight. Near that limit the node sheds load: the least
// important kind first, and within a kind the organisations over their weighted
// fair share first.
//
// The limits of contracts are fleet-wide; a node uses its share of each (see
// coordination/share). Admit and Release take no lock.
package admit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/bucket"
	"github.com/jacinthgate/jacinthgate/coordination/random"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Limiter is the admission control of one node. It holds the state of all limits
// of the contracts in force. It is safe for concurrent use.
type Limiter struct {
	cfg  Config
	seed uint64
	rand *random.Source

	organisations atomic.Pointer[map[string]*organisation]
	floor         atomic.Pointer[float64]
	inFlight      atomic.Int64
	activeWeight  atomic.Int64 // sum of the weights of the active organisations, set by Tick

	mu         sync.Mutex // held by writers only, never by Admit
	lastDemand time.Time
}

// New returns a limiter without contracts. Until SetFloor is called the node may
// use the whole of each limit, as in a fleet of one node. Each
// node needs a seed of its own: the seed determines the periods in which the node
// has the fractional slot of a concurrency, and the jitter.
func New(cfg Config, seed uint64) *Limiter {
	l := &Limiter{cfg: cfg, seed: seed, rand: random.New(seed)}
	l.organisations.Store(&map[string]*organisation{})
	l.SetFloor(1)
	return l
}

// Refusal is the error of a request that was not admitted. The request was not run.
type Refusal struct {
	// Reason is the machine-readable reason of the refusal.
	Reason outcome.Reason
	// RetryAfter is the delay after which the caller may retry, with jitter;
	// 0 when the organisation or class is unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return "refused: " + string(r.Reason) + ", retry after " + r.RetryAfter.String()
}

// Permit is an admitted request's hold on its slots, which Release frees. The zero
// Permit holds none.
type Permit struct {
	limiter       *Limiter
	organisation  *limit
	class         *limit
	reserved      bool
	admittedNanos int64 // Unix time of the admission
}

// Admit admits or refuses a request. The match must have a class. The caller must
// release the permit of an admitted request exactly once.
func (l *Limiter) Admit(now time.Time, m snapshot.Match) (Permit, *Refusal) {
	org := (*l.organisations.Load())[m.Contract.Organisation]
	if org == nil {
		return Permit{}, &Refusal{Reason: outcome.ReasonNoOrganisation}
	}
	k := org.classes[m.Class.Name]
	if k == nil {
		return Permit{}, &Refusal{Reason: outcome.ReasonNoRoute}
	}
	org.limit.offered.Add(1)
	k.limit.offered.Add(1)
	if l.shouldShed(org, k.class.Kind, l.inFlight.Add(1)) {
		l.inFlight.Add(-1)
		return Permit{}, l.refuse(outcome.ReasonShed, l.cfg.ShedRetry)
	}
	reserved, ok := l.acquireSlots(org, k, now)
	if !ok {
		l.inFlight.Add(-1)
		return Permit{}, l.refuse(outcome.ReasonConcurrency, l.cfg.ConcurrencyRetry)
	}
	p := Permit{limiter: l, organisation: org.limit, class: k.limit, reserved: reserved, admittedNanos: now.UnixNano()}
	if wait, ok := l.takeTokens(org, k, now); !ok {
		p.releaseSlots()
		return Permit{}, l.refuse(outcome.ReasonRateLimited, wait)
	}
	return p, nil
}

// Release frees the request's slots when it has ended, and records how long it was
// in flight.
func (p Permit) Release(now time.Time) {
	if p.limiter == nil {
		return
	}
	heldNanos := now.UnixNano() - p.admittedNanos
	for _, l := range [...]*limit{p.organisation, p.class} {
		l.heldNanos.Add(heldNanos)
		l.released.Add(1)
	}
	p.releaseSlots()
}

// releaseSlots frees the slots without counting the request as ended.
func (p Permit) releaseSlots() {
	p.limiter.inFlight.Add(-1)
	p.organisation.inFlight.Add(-1)
	p.class.inFlight.Add(-1)
	if p.reserved {
		p.class.reserved.Add(-1)
	} else {
		p.organisation.shared.Add(-1)
	}
}

// takeTokens takes one token of the class's rate, if it has one, and one of the
// organisation's; when either is missing it takes none and returns the Retry-After
// delay, before jitter.
func (l *Limiter) takeTokens(org *organisation, k *class, now time.Time) (time.Duration, bool) {
	var classSize bucket.Size
	if r := k.class.Rate; r != nil {
		classSize = k.limit.bucketSize(&l.cfg, *r, *l.floor.Load())
		if ok, wait := k.limit.tokens.Take(now, classSize, l.rand.Float64()); !ok {
			return l.clampRetry(k.limit, wait), false
		}
	}
	size := org.limit.bucketSize(&l.cfg, org.contract.Rate, *l.floor.Load())
	ok, wait := org.limit.tokens.Take(now, size, l.rand.Float64())
	if !ok && k.class.Rate != nil {
		k.limit.tokens.Return(classSize)
	}
	return l.clampRetry(org.limit, wait), ok
}

// clampRetry limits the time until a bucket's next token to the range of
// Retry-After delays that the configuration allows.
func (l *Limiter) clampRetry(of *limit, wait time.Duration) time.Duration {
	maximum := l.cfg.MaxRetry
	if of.share.Load() == nil && *l.floor.Load() < 1 {
		maximum = l.cfg.MaxRetryUngranted
	}
	return min(max(wait, l.cfg.MinRetry), maximum)
}

// refuse returns a refusal whose Retry-After delay is wait plus jitter.
func (l *Limiter) refuse(reason outcome.Reason, wait time.Duration) *Refusal {
	jitter := l.cfg.Jitter * l.rand.Float64()
	return &Refusal{Reason: reason, RetryAfter: wait + time.Duration(jitter*float64(wait))}
}

// shouldShed reports whether the node sheds a request of this kind: above the
// kind's threshold always, and from FairBand below it when the organisation has
// reached its weighted fair share. n is the number of requests in flight on the
// node, this one included.
func (l *Limiter) shouldShed(org *organisation, kind model.ClassKind, n int64) bool {
	if l.cfg.MaxInFlight <= 0 {
		return false
	}
	utilisation := float64(n) / float64(l.cfg.MaxInFlight)
	threshold := l.cfg.shedThreshold(kind)
	if utilisation > threshold {
		return true
	}
	activeWeight := l.activeWeight.Load()
	if utilisation <= threshold-l.cfg.FairBand || activeWeight <= 0 {
		return false
	}
	fairShare := threshold * float64(l.cfg.MaxInFlight) * float64(org.contract.Weight) / float64(activeWeight)
	return float64(org.limit.inFlight.Load()) >= fairShare
}
