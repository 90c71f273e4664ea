package quota

import (
	"math"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// A deposit is the part of an owner's tokens that its standby holds, for while the owner can't be
// reached. Who has it may give it out without knowing whether the owner issues on: the owner
// counts it as held until it is told otherwise or the deposit has ended.

const (
	// depositPart is the part of a zone's burst that lies with the standby.
	depositPart = 0.2
	// depositPause is the least time between two messages about a deposit.
	depositPause = time.Second
	// depositTime is how long a deposit holds after it was last renewed.
	depositTime = 10 * time.Second
	// depositMargin is how much longer its owner counts it, for the time of a message.
	depositMargin = time.Second
)

// given is what an owner knows of its deposit.
type given struct {
	standby model.NodeID
	tokens  float64 // the most that the standby holds
	renewed time.Time
	// former is what standbys before it may hold, until the moment formerEnds.
	former     float64
	formerEnds time.Time
}

// kept is what a standby holds for an owner.
type kept struct {
	tokens  float64
	renewed time.Time
}

// held returns the tokens that the standby may hold.
func (g *given) held(now time.Time) float64 {
	if !now.Before(g.ends()) {
		g.tokens = 0
	}
	return g.tokens
}

// ends returns when the last deposit has ended, wherever it is.
func (g *given) ends() time.Time { return g.renewed.Add(depositTime + depositMargin) }

// sum returns the tokens that the standby and those before it may hold.
func (g *given) sum(now time.Time) float64 {
	if !now.Before(g.formerEnds) {
		g.former = 0
	}
	return g.former + g.held(now)
}

// follow notes which node is the standby.
func (g *given) follow(now time.Time, standby model.NodeID) {
	if g.standby == standby {
		return
	}
	if g.held(now) > 0 {
		g.former, g.formerEnds = g.sum(now), g.ends()
	}
	g.standby, g.tokens = standby, 0
}

// valid reports whether a deposit was renewed lately; it may be empty.
func (k *kept) valid(now time.Time) bool {
	if now.Sub(k.renewed) >= depositTime {
		*k = kept{}
		return false
	}
	return true
}

// deposit returns how many tokens a standby holds: a whole one at least, or none.
func (l *Ledger) deposit(rate model.Rate) float64 {
	whole := l.cfg.deposit(rate) + depositPart*l.cfg.part(rate).burst
	if whole < 1 {
		return 0
	}
	return max(1, l.share*whole)
}

// Deposit returns the tokens that an owner leaves with its standby now, and whether a message is
// due; it may give none and only renew. They are taken from the ledger.
func (l *Ledger) Deposit(now time.Time, organisation string, standby model.NodeID) (tokens float64, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[organisation]
	if e == nil || !e.owned || now.Sub(e.given.renewed) < depositPause {
		return 0, false
	}
	e.given.follow(now, standby)
	of, size := l.part(e.rate), l.deposit(e.rate)
	e.bring(of, now)
	room := max(0, size-e.given.held(now))
	aside := min(room, e.aside)
	e.aside -= aside
	spare := max(0, min(room-aside, e.level-max(1, of.burst/2)))
	e.level -= spare
	tokens = aside + spare
	e.given.tokens += tokens
	e.given.renewed = now
	return tokens, size > 0
}

// Deposited notes what the standby holds by its answer.
func (l *Ledger) Deposited(organisation string, standby model.NodeID, held float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[organisation]; e != nil && e.given.standby == standby {
		e.given.tokens = max(0, held)
	}
}

// Depositary returns the node that may hold tokens of the ledger; empty without one.
func (l *Ledger) Depositary(now time.Time, organisation string) model.NodeID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[organisation]; e != nil && e.given.held(now) > 0 {
		return e.given.standby
	}
	return ""
}

// TakeBack adds tokens that the standby has given back to their owner.
func (l *Ledger) TakeBack(now time.Time, organisation string, rate model.Rate, tokens float64) {
	if !(tokens > 0) || math.IsInf(tokens, 0) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, organisation, rate)
	tokens = min(tokens, e.given.held(now))
	e.given.tokens -= tokens
	e.level += tokens
}

// Keep adds an owner's deposit at its standby and returns what that holds now.
func (l *Ledger) Keep(now time.Time, organisation string, rate model.Rate, tokens float64) (held float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, organisation, rate)
	if e.owned {
		return 0
	}
	e.kept.valid(now)
	e.acts, e.sole = false, false
	e.kept.tokens = min(e.kept.tokens+max(0, tokens), l.deposit(rate))
	e.kept.renewed = now
	return e.kept.tokens
}

// TakeKept takes a token for each of some requests from what a standby holds for an owner, and
// reports whether it had as many.
func (l *Ledger) TakeKept(now time.Time, organisation string, need int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[organisation]
	if e == nil || !e.kept.valid(now) || e.kept.tokens < float64(need) {
		return false
	}
	e.kept.tokens -= float64(need)
	return true
}

// LendKept gives tokens of a standby to its owner, or to another zone that can't reach that: what
// it holds, and like an owner if it issues.
func (l *Ledger) LendKept(now time.Time, organisation string, want float64) (tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[organisation]
	if e == nil || !e.kept.valid(now) {
		return 0
	}
	tokens = max(0, min(want, e.kept.tokens))
	e.kept.tokens -= tokens
	if e.acts {
		tokens += l.entry(now, organisation, e.rate).lend(now, want-tokens)
	}
	return tokens
}

// act makes what a standby holds for the owner tokens of the entry, once it issues itself: it
// begins with these.
func (e *entry) act(now time.Time) {
	if !e.kept.valid(now) {
		return
	}
	e.acts = true
	e.level += e.kept.tokens
	e.kept.tokens = 0
}

// issueDoubled issues a standby's tokens of the time since the last ones, while the owner may issue
// the same.
func (l *Ledger) issueDoubled(e *entry, now time.Time) {
	of := l.part(e.rate)
	of.perSecond *= reducedPart
	before := e.level
	e.bring(of, now)
	if issued := e.level - before; issued > 0 {
		left := l.share*l.cfg.doubled(e.rate) - e.doubled.sum(now, l.cfg.Window)
		issued = min(issued, max(0, left))
		e.level = before + issued
		e.doubled.add(now, l.cfg.Window, issued)
	}
}
