package retry

import (
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/bucket"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// token is the value of one retry in budget.earned, which counts in millionths.
const token = 1_000_000

// budgetKey identifies one class of one organisation.
type budgetKey struct{ organisation, class string }

// budget is the retry budget of one class on this node.
type budget struct {
	earned  atomic.Int64  // earned by first attempts, in fractions of a token; see token
	minimum bucket.Bucket // granted by MinPerSecond
}

// earn credits the budget with ratio retries for one first attempt.
func (b *budget) earn(cfg *Config, ratio float64) {
	limit := cfg.MaxEarned * token
	for {
		old := b.earned.Load()
		next := min(old+int64(ratio*token), limit)
		if next == old || b.earned.CompareAndSwap(old, next) {
			return
		}
	}
}

// spend takes one retry from the budget and reports whether there was one. perSecond is
// this node's share of MinPerSecond; chance is a random number in [0, 1), see
// bucket.Bucket.Take.
func (b *budget) spend(now time.Time, cfg *Config, perSecond, chance float64) bool {
	for {
		old := b.earned.Load()
		if old < token {
			break
		}
		if b.earned.CompareAndSwap(old, old-token) {
			return true
		}
	}
	size := bucket.Size{PerSecond: perSecond, Burst: perSecond * cfg.MinWindow.Seconds()}
	ok, _ := b.minimum.Take(now, size, chance)
	return ok
}

// Update replaces the budgets, in one atomic step, by those of the snapshot's classes. A
// class that had a budget before keeps its state.
func (r *Retrier) Update(s *snapshot.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := *r.budgets.Load()
	next := make(map[budgetKey]*budget)
	for _, name := range s.Organisations() {
		classes := s.Contract(name).Contract.Classes
		for i := range classes {
			addBudget(next, old, name, &classes[i])
		}
	}
	r.budgets.Store(&next)
}

// addBudget adds the class's budget, if it has one, to next. It takes the state from old
// if present.
func addBudget(next, old map[budgetKey]*budget, organisation string, c *model.Class) {
	if c.RetryBudget == nil {
		return
	}
	k := budgetKey{organisation, c.Name}
	b := old[k]
	if b == nil {
		b = new(budget)
	}
	next[k] = b
}
