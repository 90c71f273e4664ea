package quota

import (
	"math"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// lendKeep is for how long a ledger keeps what its own zone asks for before it lends.
const lendKeep = 200 * time.Millisecond

// Lend gives tokens to the owner of another zone: up to half of what the own zone doesn't
// need at once.
func (l *Ledger) Lend(now time.Time, organisation string, rate model.Rate, want float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, organisation, rate)
	e.asked = now
	return e.lend(now, want)
}

func (e *entry) lend(now time.Time, want float64) float64 {
	spare := e.level - e.use.perSecond(now)*lendKeep.Seconds()
	lent := max(0, min(want, spare/2))
	e.level -= lent
	return lent
}

// Receive adds tokens that another owner has given.
func (l *Ledger) Receive(now time.Time, organisation string, rate model.Rate, tokens float64) {
	if !(tokens > 0) || math.IsInf(tokens, 0) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, organisation, rate)
	e.add(l.cfg, tokens)
}

// add adds tokens that were issued elsewhere. Several zones' may come together for one that
// has a burst, so the bound is that of the whole quota; see borrowTime.
func (e *entry) add(cfg Config, tokens float64) {
	e.level = min(e.level+max(0, tokens), max(1, cfg.hold(e.rate)))
}
