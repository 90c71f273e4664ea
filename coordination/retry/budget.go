package retry

import (
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/bucket"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// token is one retry in the units of budget.earned.
const token = 1_000_000

// budgetKey names one class of one organisation.
type budgetKey struct{ organisation, class string }

// budget is the state of one class's retries on this node.
type budget struct {
	earned atomic.Int64  // from first attempts, in parts of a token
	least  bucket.Bucket // from MinPerSecond
}

// earn adds the ratio for one first attempt.
func (b *budget) earn(cfg *Config, ratio float64) {
	most := cfg.MaxEarned * token
	for {
		old := b.earned.Load()
		next := min(old+int64(ratio*token), most)
		if next == old || b.earned.CompareAndSwap(old, next) {
			return
		}
	}
}

// spend takes one retry and reports whether there was one.
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
	ok, _ := b.least.Take(now, size, chance)
	return ok
}

// Update makes the budgets of a snapshot's classes and swaps them in at once.
// Budgets of classes that stay are kept.
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
