package quota

import (
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Ledger holds the tokens of the organisations that this node owns or serves as the standby.
// It is safe for concurrent use.
type Ledger struct {
	cfg Config

	mu      sync.Mutex
	entries map[string]*entry
	// liveFraction is the fraction of the zone's members that this node sees live.
	liveFraction float64
}

// entry is a ledger's state for one organisation.
type entry struct {
	rate    model.Rate
	level   float64   // tokens issued and not yet given out
	updated time.Time // when level was last refilled
	// owned is set if the node ranks first for the organisation; otherwise it is the standby.
	owned       bool
	lastRequest time.Time // last request from a node or from another zone's owner
	// nextSlot is the first retry slot, the time of a future token, that isn't assigned yet.
	nextSlot time.Time
	// demand estimates the requested tokens per second.
	demand rateEstimate
	// reserved counts the tokens that nodes hold in advance.
	reserved windowSum
	// depositReserve is the number of tokens that an owner has issued only for the deposit.
	depositReserve float64
	// placed is an owner's record of its deposit, and held the deposit that a standby holds.
	placed placedDeposit
	held   heldDeposit
	// issuing is set while a standby issues tokens itself; a deposit message clears it.
	issuing bool
	// ownerEnded is set if the standby has established that the owner's process has ended.
	ownerEnded bool
	// duplicates counts the tokens issued by the standby that the owner may have issued too.
	duplicates windowSum
}

// NewLedger returns an empty ledger.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, entries: make(map[string]*entry), liveFraction: 1}
}

// standbyIdleTime is how long a standby without requests keeps issuing tokens: it must not
// accumulate tokens that the owner issues too.
const standbyIdleTime = time.Second

// SetOwned sets the quotas of all organisations, the organisations whose ledgers this node owns, and
// the fraction of the zone's members that it sees live, which limits the tokens that it issues. It
// returns the tokens of the organisations that it no longer owns, for transfer to the new owners.
func (l *Ledger) SetOwned(now time.Time, liveFraction float64, quotas map[string]model.Rate, owned map[string]struct{}) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.liveFraction = liveFraction
	var handover map[string]float64
	for name, e := range l.entries {
		rate, limited := quotas[name]
		_, stillOwned := owned[name]
		switch {
		case !limited:
			delete(l.entries, name)
		case e.owned && !stillOwned:
			e.refill(l.ledgerSize(e.rate), now)
			if handover == nil {
				handover = make(map[string]float64)
			}
			handover[name] = e.level
			delete(l.entries, name)
		case e.rate != rate:
			l.entry(now, name, rate)
		}
	}
	for name, rate := range quotas {
		if _, isOwned := owned[name]; isOwned {
			e := l.entry(now, name, rate)
			if !e.owned {
				e.startIssuing(now)
			}
			e.owned = true
		}
	}
	return handover
}

// entry returns an organisation's entry, refilled to now. A new entry starts with few tokens, since
// requests that were admitted before it existed still count.
func (l *Ledger) entry(now time.Time, name string, rate model.Rate) *entry {
	e := l.entries[name]
	if e == nil {
		e = &entry{rate: rate, level: l.initialLevel(rate), updated: now, lastRequest: now}
		l.entries[name] = e
	}
	if e.rate != rate {
		e.rate, e.nextSlot = rate, time.Time{}
		e.level = min(e.level, l.ledgerSize(rate).burst)
		e.held.tokens = min(e.held.tokens, l.depositSize(rate))
	}
	switch {
	case e.owned || e.ownerEnded:
		e.refill(l.ledgerSize(e.rate), now)
	case !e.issuing && e.held.valid(now):
		e.level, e.updated = 0, now // the owner has issued all tokens up to now
	default:
		l.issueAsStandby(e, now)
	}
	if !e.owned && now.Sub(e.lastRequest) > standbyIdleTime {
		e.level = min(e.level, l.initialLevel(rate))
	}
	return e
}

// initialLevel returns the tokens of a new entry: the zone's initial tokens times the fraction of
// live members, but one whole token if the zone's are at least one. With less, the smaller side of
// a network partition would refuse even the first request, however low its load.
func (l *Ledger) initialLevel(rate model.Rate) float64 {
	zoneTokens := l.cfg.initialTokens(rate)
	return max(l.liveFraction*zoneTokens, min(1, zoneTokens))
}

// ledgerSize returns the size of an entry: the zone's size times the fraction of live members.
func (l *Ledger) ledgerSize(rate model.Rate) ledgerSize {
	zone := l.cfg.ledgerSize(rate)
	return ledgerSize{perSecond: zone.perSecond * l.liveFraction, burst: max(1, zone.burst*l.liveFraction), extraDeposit: l.liveFraction * l.cfg.extraDeposit(rate)}
}

// capacity returns the maximum level of an entry: its burst less the tokens that nodes hold in
// advance, and less the part of the deposit that exceeds size.extraDeposit.
func (e *entry) capacity(size ledgerSize, now time.Time) float64 {
	return size.burst - e.reserved.sum(now, reserveLifetime) - max(0, e.placed.totalOutstanding(now)-size.extraDeposit)
}

// refill issues the tokens for the time since the last call. An owner's tokens beyond the entry's
// capacity go to depositReserve, up to size.extraDeposit.
func (e *entry) refill(size ledgerSize, now time.Time) {
	capacity := e.capacity(size, now)
	elapsed := now.Sub(e.updated)
	if elapsed <= 0 {
		return
	}
	e.updated = now
	if elapsed > borrowedLifetime {
		e.level = min(e.level, capacity)
	}
	uncapped := e.level + size.perSecond*elapsed.Seconds()
	e.level = max(e.level, min(capacity, uncapped))
	if e.owned {
		e.depositReserve = max(0, min(size.extraDeposit-e.placed.totalOutstanding(now), e.depositReserve+uncapped-e.level))
	}
}

// borrowedLifetime is how long borrowed tokens may raise an entry above its own capacity: they are
// borrowed only when they are needed.
const borrowedLifetime = 50 * time.Millisecond

// Request is a node's request for tokens of an organisation.
type Request struct {
	// Organisation is the organisation's name and Rate its quota.
	Organisation string
	Rate         model.Rate
	// Need is the number of waiting requests, and Reserve the number of additional tokens that
	// the node would like to hold in advance.
	Need, Reserve int
	// Refused is the number of requests that the node has refused without a request to the ledger,
	// and Slots the number of further retry slots that it would like to assign.
	Refused, Slots int
	// Return is the number of tokens that the node returns.
	Return float64
	// OwnerEnded is set in a request to a standby if the owner's process has ended.
	OwnerEnded bool
}

// Grant is the response to a Request.
type Grant struct {
	// Tokens is the number of tokens granted.
	Tokens int
	// RetryAfter is the delay until the first retry slot if too few tokens were granted, and Spacing
	// the time between slots: there is one for each unserved request and each requested slot.
	RetryAfter, Spacing time.Duration
}

// Shortfall returns how many tokens the entry lacks for a request, which it counts as demand.
func (l *Ledger) Shortfall(now time.Time, r Request) (shortfall float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, r.Organisation, r.Rate)
	e.lastRequest = now
	e.ownerEnded = r.OwnerEnded
	e.startIssuing(now)
	e.addReturned(l.ledgerSize(e.rate), now, r.Return)
	e.demand.add(now, float64(r.Need+r.Refused))
	return max(0, float64(r.Need)-e.level)
}

// Acquire grants tokens. It assigns consecutive retry slots to the requests that get none.
func (l *Ledger) Acquire(now time.Time, r Request) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, r.Organisation, r.Rate)
	e.lastRequest = now
	granted := min(r.Need, int(e.level))
	e.level -= float64(granted)
	g := Grant{Tokens: granted}
	if granted < r.Need {
		g.RetryAfter, g.Spacing = e.assignSlots(l.ledgerSize(e.rate), now, r.Need-granted+r.Slots)
		return g
	}
	if e.level >= l.ledgerSize(e.rate).burst*plentyFraction {
		e.nextSlot = now // callers with a slot have not retried
	}
	// Tokens in advance take at most half of the level, so that the rest stays for other nodes,
	// and all nodes together hold at most half of the burst in advance.
	free := l.ledgerSize(e.rate).burst/2 - e.reserved.sum(now, reserveLifetime)
	if extra := min(r.Reserve, int(min(free, e.level/2))); extra > 0 {
		e.level -= float64(extra)
		e.reserved.add(now, reserveLifetime, float64(extra))
		g.Tokens += extra
	}
	return g
}

// plentyFraction is the fraction of a ledger's burst from which on it discards the assigned retry
// slots.
const plentyFraction = 0.25

// slotHorizon limits how far ahead retry slots are assigned.
const slotHorizon = 30 * time.Second

// assignSlots assigns the next retry slots. It returns the delay until the first one and the time
// between slots.
func (e *entry) assignSlots(size ledgerSize, now time.Time, slots int) (after, spacing time.Duration) {
	interval := min(float64(time.Second)/size.perSecond, float64(slotHorizon))
	earliest := now.Add(time.Duration(max(0, 1-e.level) * interval))
	if e.nextSlot.Before(earliest) {
		e.nextSlot = earliest
	}
	after = e.nextSlot.Sub(now)
	if horizon := now.Add(slotHorizon); e.nextSlot.Before(horizon) {
		e.nextSlot = e.nextSlot.Add(time.Duration(min(float64(slots)*interval, float64(slotHorizon))))
	}
	return min(after, slotHorizon), time.Duration(interval)
}

// addReturned adds tokens that a node returns. They may have been issued again in the meantime, so
// they don't raise the level above the entry's capacity.
func (e *entry) addReturned(size ledgerSize, now time.Time, tokens float64) {
	capacity := e.capacity(size, now)
	e.level = max(e.level, min(capacity, e.level+max(0, tokens)))
}

// Demand returns the recent demand of the node's own zone in requests per second.
func (l *Ledger) Demand(now time.Time, organisation string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[organisation]; e != nil {
		return e.demand.perSecond(now)
	}
	return 0
}
