package quota

import (
	"math"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// lenderReserveTime is the period for whose expected demand in its own zone a ledger keeps tokens
// when it lends.
const lenderReserveTime = 200 * time.Millisecond

// Lend takes up to want tokens for the owner of another zone and returns their number: at most half
// of what its own zone doesn't need immediately.
func (l *Ledger) Lend(now time.Time, organisation string, rate model.Rate, want float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, organisation, rate)
	e.lastRequest = now
	return e.lend(now, want)
}

func (e *entry) lend(now time.Time, want float64) float64 {
	spare := e.level - e.demand.perSecond(now)*lenderReserveTime.Seconds()
	lent := max(0, min(want, spare/2))
	e.level -= lent
	return lent
}

// Receive adds tokens that another owner has transferred or lent.
func (l *Ledger) Receive(now time.Time, organisation string, rate model.Rate, tokens float64) {
	if !(tokens > 0) || math.IsInf(tokens, 0) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, organisation, rate)
	e.add(l.cfg, tokens)
}

// add adds tokens that were issued elsewhere. A zone with a burst of requests may receive tokens of
// several others, so the limit is the capacity of the whole fleet; see borrowedLifetime.
func (e *entry) add(cfg Config, tokens float64) {
	e.level = min(e.level+max(0, tokens), max(1, cfg.fleetCapacity(e.rate)))
}
