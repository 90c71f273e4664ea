package freshness

import (
	"sync/atomic"
	"time"
)

// Proof tells the path of a request what is proved. It is safe for concurrent use.
type Proof struct {
	cfg Config
	now func() time.Time
	// moment is the proof's, in nanoseconds of the clock; 0 for none.
	moment atomic.Int64
	behind atomic.Bool
}

// NewProof returns a proof of nothing. now is the clock that the core's moments come from.
func NewProof(cfg Config, now func() time.Time) *Proof { return &Proof{cfg: cfg, now: now} }

// Publish takes what the core tells.
func (p *Proof) Publish(c Changed) {
	p.behind.Store(c.Behind)
	if !c.Moment.IsZero() {
		p.moment.Store(c.Moment.UnixNano())
	}
}

// Age returns how old the proof is, and false where there is none or the clock has gone back
// since, which tells that it can't be trusted.
func (p *Proof) Age() (time.Duration, bool) {
	m := p.moment.Load()
	if m == 0 {
		return 0, false
	}
	age := p.now().Sub(time.Unix(0, m))
	return max(0, age), age >= 0
}

// Left returns for how long the version in force may still be acted on; 0 or less when it
// may not.
func (p *Proof) Left() time.Duration {
	age, proved := p.Age()
	if !proved {
		return 0
	}
	return p.cfg.Bound - p.cfg.Margin - age
}

// ReadWait returns how long the next read of the store may wait for a change: a proof is as
// old as the read that gave it. Reads hurry while the proof is late, such as after the store
// has come back older.
func (p *Proof) ReadWait() time.Duration {
	age, proved := p.Age()
	if proved && age > p.cfg.Bound/recentPart && age < hurryBounds*p.cfg.Bound {
		return p.cfg.Bound / lateWaitPart
	}
	return p.cfg.Bound / readsPerBound
}

// Recent reports whether a key that the version in force doesn't hold is unknown: no newer
// version is known, and none can be older than RecentWithin.
func (p *Proof) Recent() bool {
	age, proved := p.Age()
	return proved && !p.behind.Load() && age <= p.cfg.RecentWithin-p.cfg.Margin
}
