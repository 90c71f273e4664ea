// Package admit decides which requests a node lets in: by the rate and
// concurrency of the organisation's contract and of the class, by reserves and
// weights of classes, and by the node's own limit, where the least important
// kind is shed first and then organisations over their weighted fair share.
//
// Limits are fleet-wide; a node uses its share of each (see
// coordination/share). The path of a request takes no lock.
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

// Limiter admits requests on one node. It is safe for concurrent use.
type Limiter struct {
	cfg  Config
	seed uint64
	rand *random.Source

	organisations atomic.Pointer[map[string]*organisation]
	floor         atomic.Pointer[float64]
	inFlight      atomic.Int64
	weights       atomic.Int64 // of the active organisations, set by Tick

	mu       sync.Mutex // held by writers only, never by Admit
	lastRead time.Time
}

// New returns a limiter without contracts. Until SetFloor the node holds the
// whole of each limit, as a fleet of one.
func New(cfg Config, seed uint64) *Limiter {
	l := &Limiter{cfg: cfg, seed: seed, rand: random.New(seed)}
	l.organisations.Store(&map[string]*organisation{})
	l.SetFloor(1)
	return l
}

// Refusal tells why a request was not let in. The request was not run.
type Refusal struct {
	// Reason is the machine-readable reason.
	Reason outcome.Reason
	// RetryAfter is when to come back, with jitter.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return "refused: " + string(r.Reason) + ", retry after " + r.RetryAfter.String()
}

// Permit is a request let in. The zero Permit holds nothing.
type Permit struct {
	limiter      *Limiter
	organisation *limit
	class        *limit
	reserved     bool
	since        int64
}

// Admit lets a request in or refuses it. The match must have a class. A permit
// must be released exactly once.
func (l *Limiter) Admit(now time.Time, m snapshot.Match) (Permit, *Refusal) {
	c := (*l.organisations.Load())[m.Contract.Organisation]
	if c == nil {
		return Permit{}, &Refusal{Reason: outcome.ReasonNoOrganisation}
	}
	k := c.classes[m.Class.Name]
	if k == nil {
		return Permit{}, &Refusal{Reason: outcome.ReasonNoRoute}
	}
	c.limit.offered.Add(1)
	k.limit.offered.Add(1)
	if l.shed(c, k.class.Kind, l.inFlight.Add(1)) {
		l.inFlight.Add(-1)
		return Permit{}, l.refuse(outcome.ReasonShed, l.cfg.ShedRetry)
	}
	reserved, ok := l.enter(c, k, now)
	if !ok {
		l.inFlight.Add(-1)
		return Permit{}, l.refuse(outcome.ReasonConcurrency, l.cfg.ConcurrencyRetry)
	}
	p := Permit{limiter: l, organisation: c.limit, class: k.limit, reserved: reserved, since: now.UnixNano()}
	if wait, ok := l.take(c, k, now); !ok {
		p.leave()
		return Permit{}, l.refuse(outcome.ReasonRateLimited, wait)
	}
	return p, nil
}

// Release ends the request.
func (p Permit) Release(now time.Time) {
	if p.limiter == nil {
		return
	}
	held := now.UnixNano() - p.since
	for _, l := range [...]*limit{p.organisation, p.class} {
		l.held.Add(held)
		l.released.Add(1)
	}
	p.leave()
}

func (p Permit) leave() {
	p.limiter.inFlight.Add(-1)
	p.organisation.inFlight.Add(-1)
	p.class.inFlight.Add(-1)
	if p.reserved {
		p.class.reserved.Add(-1)
	} else {
		p.organisation.shared.Add(-1)
	}
}

// take takes a token of the class and of the organisation, or neither.
func (l *Limiter) take(c *organisation, k *class, now time.Time) (time.Duration, bool) {
	var classSize bucket.Size
	if r := k.class.Rate; r != nil {
		classSize = k.limit.size(&l.cfg, *r, *l.floor.Load())
		if ok, wait := k.limit.tokens.Take(now, classSize, l.rand.Float64()); !ok {
			return l.bound(k.limit, wait), false
		}
	}
	size := c.limit.size(&l.cfg, c.contract.Rate, *l.floor.Load())
	ok, wait := c.limit.tokens.Take(now, size, l.rand.Float64())
	if !ok && k.class.Rate != nil {
		k.limit.tokens.Return(classSize)
	}
	return l.bound(c.limit, wait), ok
}

// bound keeps a bucket's wait within what is worth telling a caller.
func (l *Limiter) bound(of *limit, wait time.Duration) time.Duration {
	most := l.cfg.MaxRetry
	if of.share.Load() == nil && *l.floor.Load() < 1 {
		most = l.cfg.GrantWait
	}
	return min(max(wait, l.cfg.MinRetry), most)
}

func (l *Limiter) refuse(reason outcome.Reason, wait time.Duration) *Refusal {
	jitter := l.cfg.Jitter * l.rand.Float64()
	return &Refusal{Reason: reason, RetryAfter: wait + time.Duration(jitter*float64(wait))}
}

// shed reports whether the node is too full for a request of the kind. n is
// the number in flight with the request.
func (l *Limiter) shed(c *organisation, kind model.ClassKind, n int64) bool {
	if l.cfg.MaxInFlight <= 0 {
		return false
	}
	full := float64(n) / float64(l.cfg.MaxInFlight)
	at := l.cfg.shedAt(kind)
	if full > at {
		return true
	}
	weights := l.weights.Load()
	if full <= at-l.cfg.FairBand || weights <= 0 {
		return false
	}
	fair := at * float64(l.cfg.MaxInFlight) * float64(c.contract.Weight) / float64(weights)
	return float64(c.limit.inFlight.Load()) >= fair
}
