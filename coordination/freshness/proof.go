package freshness

import (
	"sync/atomic"
	"time"
)

// Proof makes the current proof available to the handling of requests. It is safe for
// concurrent use.
type Proof struct {
	cfg Config
	now func() time.Time
	// moment is the moment of the proof, in nanoseconds of the clock; 0 for none.
	moment atomic.Int64
	behind atomic.Bool
}

// NewProof returns a Proof without a published proof. now must be the clock that the moments
// of the core are taken from.
func NewProof(cfg Config, now func() time.Time) *Proof { return &Proof{cfg: cfg, now: now} }

// Publish stores a change reported by the core.
func (p *Proof) Publish(c Changed) {
	p.behind.Store(c.Behind)
	if !c.Moment.IsZero() {
		p.moment.Store(c.Moment.UnixNano())
	}
}

// Age returns the age of the proof. It returns false if there is none, or if the clock has
// gone back since and so can't be trusted.
func (p *Proof) Age() (time.Duration, bool) {
	m := p.moment.Load()
	if m == 0 {
		return 0, false
	}
	age := p.now().Sub(time.Unix(0, m))
	return max(0, age), age >= 0
}

// Left returns for how much longer the version in force may be used; 0 or less means that
// it may not be used.
func (p *Proof) Left() time.Duration {
	age, proved := p.Age()
	if !proved {
		return 0
	}
	return p.cfg.Bound - p.cfg.Margin - age
}

// ReadWait returns how long the next read of the store may wait for a change. A proof dates
// from the start of its read, so long waits give old proofs. The wait is shorter while the
// proof is late, for example after the store was restored from an older copy.
func (p *Proof) ReadWait() time.Duration {
	age, proved := p.Age()
	if proved && age > p.cfg.Bound/recentDivisor && age < fastReadBounds*p.cfg.Bound {
		return p.cfg.Bound / lateWaitDivisor
	}
	return p.cfg.Bound / readsPerBound
}

// Recent reports whether a key that the version in force doesn't hold can be taken to be
// unknown: no newer version is known, and none was acknowledged more than RecentWithin ago.
func (p *Proof) Recent() bool {
	age, proved := p.Age()
	return proved && !p.behind.Load() && age <= p.cfg.RecentWithin-p.cfg.Margin
}
