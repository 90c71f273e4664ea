package quota

import (
	"math"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// A deposit is the part of an owner's tokens that its standby holds, for use while the owner is
// unreachable. The standby may give these tokens out without regard to whether the owner still
// issues: the owner counts them as outstanding until the standby reports otherwise or they expire.

const (
	// burstDepositFraction is the fraction of a zone's burst that is deposited at the standby.
	burstDepositFraction = 0.2
	// minDepositInterval is the minimum time between two deposit messages.
	minDepositInterval = time.Second
	// depositLifetime is the time after its last renewal at which a deposit expires at the standby.
	depositLifetime = 10 * time.Second
	// depositExpiryMargin is how much longer the owner counts a deposit, to cover the transit time
	// of a message.
	depositExpiryMargin = time.Second
)

// placedDeposit is an owner's record of the tokens that its standbys may hold.
type placedDeposit struct {
	standby model.NodeID
	tokens  float64 // upper bound on what the standby holds
	renewed time.Time
	// formerTokens is the upper bound on what previous standbys hold, until formerExpiry.
	formerTokens float64
	formerExpiry time.Time
}

// heldDeposit is the deposit that a standby holds for an owner.
type heldDeposit struct {
	tokens  float64
	renewed time.Time
}

// outstanding returns the upper bound on the tokens that the current standby holds.
func (d *placedDeposit) outstanding(now time.Time) float64 {
	if !now.Before(d.expiry()) {
		d.tokens = 0
	}
	return d.tokens
}

// expiry returns the time at which the last deposit has expired on both nodes.
func (d *placedDeposit) expiry() time.Time {
	return d.renewed.Add(depositLifetime + depositExpiryMargin)
}

// totalOutstanding returns the upper bound on the tokens that the current and the previous
// standbys hold.
func (d *placedDeposit) totalOutstanding(now time.Time) float64 {
	if !now.Before(d.formerExpiry) {
		d.formerTokens = 0
	}
	return d.formerTokens + d.outstanding(now)
}

// setStandby records the current standby. The deposit of the previous one stays counted until it
// expires.
func (d *placedDeposit) setStandby(now time.Time, standby model.NodeID) {
	if d.standby == standby {
		return
	}
	if d.outstanding(now) > 0 {
		d.formerTokens, d.formerExpiry = d.totalOutstanding(now), d.expiry()
	}
	d.standby, d.tokens = standby, 0
}

// valid reports whether the deposit, which may be empty, was renewed within depositLifetime.
func (d *heldDeposit) valid(now time.Time) bool {
	if now.Sub(d.renewed) >= depositLifetime {
		*d = heldDeposit{}
		return false
	}
	return true
}

// depositSize returns the maximum deposit at a standby in tokens: at least one whole token, or 0.
func (l *Ledger) depositSize(rate model.Rate) float64 {
	zoneDeposit := l.cfg.extraDeposit(rate) + burstDepositFraction*l.cfg.ledgerSize(rate).burst
	if zoneDeposit < 1 {
		return 0
	}
	return max(1, l.liveFraction*zoneDeposit)
}

// Deposit moves tokens of the ledger to the deposit at the standby. It returns their number and
// whether a deposit message is due; a message with 0 tokens only renews the deposit.
func (l *Ledger) Deposit(now time.Time, organisation string, standby model.NodeID) (tokens float64, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[organisation]
	if e == nil || !e.owned || now.Sub(e.placed.renewed) < minDepositInterval {
		return 0, false
	}
	e.placed.setStandby(now, standby)
	size, target := l.ledgerSize(e.rate), l.depositSize(e.rate)
	e.refill(size, now)
	free := max(0, target-e.placed.outstanding(now))
	fromReserve := min(free, e.depositReserve)
	e.depositReserve -= fromReserve
	spare := max(0, min(free-fromReserve, e.level-max(1, size.burst/2)))
	e.level -= spare
	tokens = fromReserve + spare
	e.placed.tokens += tokens
	e.placed.renewed = now
	return tokens, target > 0
}

// ConfirmDeposit records the size of the deposit that the standby reports in its response.
func (l *Ledger) ConfirmDeposit(organisation string, standby model.NodeID, held float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[organisation]; e != nil && e.placed.standby == standby {
		e.placed.tokens = max(0, held)
	}
}

// Depositary returns the node that may hold a deposit of the ledger; empty if there is none.
func (l *Ledger) Depositary(now time.Time, organisation string) model.NodeID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[organisation]; e != nil && e.placed.outstanding(now) > 0 {
		return e.placed.standby
	}
	return ""
}

// TakeBack adds deposited tokens that the standby has returned to the owner's ledger.
func (l *Ledger) TakeBack(now time.Time, organisation string, rate model.Rate, tokens float64) {
	if !(tokens > 0) || math.IsInf(tokens, 0) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, organisation, rate)
	tokens = min(tokens, e.placed.outstanding(now))
	e.placed.tokens -= tokens
	e.level += tokens
}

// AcceptDeposit adds tokens to the deposit that this node, as the standby, holds for an owner. It
// returns the size of the deposit.
func (l *Ledger) AcceptDeposit(now time.Time, organisation string, rate model.Rate, tokens float64) (held float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, organisation, rate)
	if e.owned {
		return 0
	}
	e.held.valid(now)
	e.issuing, e.ownerEnded = false, false
	e.held.tokens = min(e.held.tokens+max(0, tokens), l.depositSize(rate))
	e.held.renewed = now
	return e.held.tokens
}

// TakeDeposited takes need tokens, one for each request, from the deposit that this node holds as
// the standby. It takes none and returns false if the deposit holds fewer.
func (l *Ledger) TakeDeposited(now time.Time, organisation string, need int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[organisation]
	if e == nil || !e.held.valid(now) || e.held.tokens < float64(need) {
		return false
	}
	e.held.tokens -= float64(need)
	return true
}

// LendDeposited returns up to want tokens of the standby to the owner, or to another zone that
// can't reach the owner. They come from the deposit and, if the standby issues tokens itself, from
// its entry as an owner would lend them.
func (l *Ledger) LendDeposited(now time.Time, organisation string, want float64) (tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[organisation]
	if e == nil || !e.held.valid(now) {
		return 0
	}
	tokens = max(0, min(want, e.held.tokens))
	e.held.tokens -= tokens
	if e.issuing {
		tokens += l.entry(now, organisation, e.rate).lend(now, want-tokens)
	}
	return tokens
}

// startIssuing makes the standby issue tokens itself. The entry starts with the tokens of the
// deposit.
func (e *entry) startIssuing(now time.Time) {
	if !e.held.valid(now) {
		return
	}
	e.issuing = true
	e.level += e.held.tokens
	e.held.tokens = 0
}

// issueAsStandby issues a standby's tokens for the time since the last call while the owner may
// issue the same ones: at a reduced rate and within duplicateLimit.
func (l *Ledger) issueAsStandby(e *entry, now time.Time) {
	size := l.ledgerSize(e.rate)
	size.perSecond *= reducedRateFraction
	before := e.level
	e.refill(size, now)
	if issued := e.level - before; issued > 0 {
		remaining := l.liveFraction*l.cfg.duplicateLimit(e.rate) - e.duplicates.sum(now, l.cfg.Window)
		issued = min(issued, max(0, remaining))
		e.level = before + issued
		e.duplicates.add(now, l.cfg.Window, issued)
	}
}
