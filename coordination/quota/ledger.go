package quota

import (
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Ledger holds the tokens of the organisations that a node owns or is asked for as the standby.
// It is safe for concurrent use.
type Ledger struct {
	cfg Config

	mu      sync.Mutex
	entries map[string]*entry
	// share is the part of the zone's members that this node sees.
	share float64
}

// entry is the part of a ledger for one organisation.
type entry struct {
	rate  model.Rate
	level float64   // tokens that were issued and not given out
	at    time.Time // when level was last brought up to date
	// owned says that the node comes first for the organisation; else it is the standby.
	owned bool
	asked time.Time // when a node or another zone's owner last asked
	// next is when the first token comes that nobody was promised.
	next time.Time
	// use estimates how many tokens are asked for a second.
	use use
	// reserved is what nodes hold in reserve.
	reserved recent
	// aside is what an owner has issued for its standby only.
	aside float64
	// given is what an owner's standby holds, and kept what a standby holds for the owner.
	given given
	kept  kept
	// acts says that the standby issues, since it was last told of the owner.
	acts bool
	// sole says that the standby knows the owner to have ended.
	sole bool
	// doubled is what the standby has issued in a window and the owner may have issued too.
	doubled recent
}

// NewLedger returns an empty ledger.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, entries: make(map[string]*entry), share: 1}
}

// standbyTime is how long a standby that nobody asks goes on issuing: it must not save up
// what the owner issues too.
const standbyTime = time.Second

// Own tells the quotas of all organisations, which of these the node owns, and which part of the
// zone's members it sees: it issues no more than that part. It returns the tokens of those that
// it no longer owns: they go to the new owners.
func (l *Ledger) Own(now time.Time, share float64, quotas map[string]model.Rate, owned map[string]struct{}) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
	var left map[string]float64
	for name, e := range l.entries {
		rate, limited := quotas[name]
		_, still := owned[name]
		switch {
		case !limited:
			delete(l.entries, name)
		case e.owned && !still:
			e.bring(l.part(e.rate), now)
			if left == nil {
				left = make(map[string]float64)
			}
			left[name] = e.level
			delete(l.entries, name)
		case e.rate != rate:
			l.entry(now, name, rate)
		}
	}
	for name, rate := range quotas {
		if _, own := owned[name]; own {
			e := l.entry(now, name, rate)
			if !e.owned {
				e.act(now)
			}
			e.owned = true
		}
	}
	return left
}

// entry returns an organisation's entry, up to date. A new one begins with little, since
// what was let in before still counts.
func (l *Ledger) entry(now time.Time, name string, rate model.Rate) *entry {
	e := l.entries[name]
	if e == nil {
		e = &entry{rate: rate, level: l.start(rate), at: now, asked: now}
		l.entries[name] = e
	}
	if e.rate != rate {
		e.rate, e.next = rate, time.Time{}
		e.level = min(e.level, l.part(rate).burst)
		e.kept.tokens = min(e.kept.tokens, l.deposit(rate))
	}
	switch {
	case e.owned || e.sole:
		e.bring(l.part(e.rate), now)
	case !e.acts && e.kept.valid(now):
		e.level, e.at = 0, now // the owner has issued all until now
	default:
		l.issueDoubled(e, now)
	}
	if !e.owned && now.Sub(e.asked) > standbyTime {
		e.level = min(e.level, l.start(rate))
	}
	return e
}

// start returns what a new entry holds: the part of the zone that the node sees, but one
// token where the zone's start has it. Less would refuse the first request on the small side
// of a cut, however little is asked there.
func (l *Ledger) start(rate model.Rate) float64 {
	whole := l.cfg.start(rate)
	return max(l.share*whole, min(1, whole))
}

// part returns the size of an entry.
func (l *Ledger) part(rate model.Rate) size {
	of := l.cfg.part(rate)
	return size{perSecond: of.perSecond * l.share, burst: max(1, of.burst*l.share), beside: l.share * l.cfg.deposit(rate)}
}

// room returns how many tokens an entry may hold beside what was given out in advance. A deposit
// counts as far as it is more than what may be held beside the ledger.
func (e *entry) room(of size, now time.Time) float64 {
	return of.burst - e.reserved.sum(now, reserveTime) - max(0, e.given.sum(now)-of.beside)
}

// bring issues the tokens of the time since it was last called.
func (e *entry) bring(of size, now time.Time) {
	room := e.room(of, now)
	passed := now.Sub(e.at)
	if passed <= 0 {
		return
	}
	e.at = now
	if passed > borrowTime {
		e.level = min(e.level, room)
	}
	all := e.level + of.perSecond*passed.Seconds()
	e.level = max(e.level, min(room, all))
	if e.owned {
		e.aside = max(0, min(of.beside-e.given.sum(now), e.aside+all-e.level))
	}
}

// borrowTime is for how long tokens of other zones may lie beyond what a ledger holds of its
// own: they are asked for when they are needed.
const borrowTime = 50 * time.Millisecond

// Request asks for tokens of an organisation.
type Request struct {
	// Organisation is its name and Rate its quota.
	Organisation string
	Rate         model.Rate
	// Need is the number of requests that wait, and Reserve how many more tokens the
	// asker would like.
	Need, Reserve int
	// Refused is the number of requests that the asker has told to come back without
	// asking, and Slots for how many more it would like to know when to come back.
	Refused, Slots int
	// Return is what the asker gives back.
	Return float64
	// Ended says that the owner has ended, to a standby that is asked.
	Ended bool
}

// Grant answers a Request.
type Grant struct {
	// Tokens is what the asker gets.
	Tokens int
	// After is when the first token comes for what the asker didn't get, and Spacing the
	// time between two: one for each request that waits and each slot.
	After, Spacing time.Duration
}

// Preview returns how many tokens are missing for a request, and counts it as use.
func (l *Ledger) Preview(now time.Time, r Request) (lack float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, r.Organisation, r.Rate)
	e.asked = now
	e.sole = r.Ended
	e.act(now)
	e.takeBack(l.part(e.rate), now, r.Return)
	e.use.add(now, float64(r.Need+r.Refused))
	return max(0, float64(r.Need)-e.level)
}

// Ask gives tokens out. Those that get none are told when to come back, one after the other.
func (l *Ledger) Ask(now time.Time, r Request) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, r.Organisation, r.Rate)
	e.asked = now
	whole := min(r.Need, int(e.level))
	e.level -= float64(whole)
	g := Grant{Tokens: whole}
	if whole < r.Need {
		g.After, g.Spacing = e.promise(l.part(e.rate), now, r.Need-whole+r.Slots)
		return g
	}
	if e.level >= l.part(e.rate).burst*plenty {
		e.next = now // who was promised more has not come back
	}
	// Half of what there is stays for others, and half of what there may be is no reserve.
	room := l.part(e.rate).burst/2 - e.reserved.sum(now, reserveTime)
	if extra := min(r.Reserve, int(min(room, e.level/2))); extra > 0 {
		e.level -= float64(extra)
		e.reserved.add(now, reserveTime, float64(extra))
		g.Tokens += extra
	}
	return g
}

// plenty is the part of what a ledger may hold from which on nothing is promised any more.
const plenty = 0.25

// promiseMax bounds how far ahead tokens are promised.
const promiseMax = 30 * time.Second

// promise returns when the next token comes that nobody was promised, and takes it and those
// that follow.
func (e *entry) promise(of size, now time.Time, slots int) (after, spacing time.Duration) {
	each := min(float64(time.Second)/of.perSecond, float64(promiseMax))
	first := now.Add(time.Duration(max(0, 1-e.level) * each))
	if e.next.Before(first) {
		e.next = first
	}
	after = e.next.Sub(now)
	if end := now.Add(promiseMax); e.next.Before(end) {
		e.next = e.next.Add(time.Duration(min(float64(slots)*each, float64(promiseMax))))
	}
	return min(after, promiseMax), time.Duration(each)
}

// takeBack adds tokens that a node gives back. They may have been issued again since they were
// given, so they add nothing to a full entry.
func (e *entry) takeBack(of size, now time.Time, tokens float64) {
	room := e.room(of, now)
	e.level = max(e.level, min(room, e.level+max(0, tokens)))
}

// Use returns the requests a second that the node's zone asked for lately.
func (l *Ledger) Use(now time.Time, organisation string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[organisation]; e != nil {
		return e.use.perSecond(now)
	}
	return 0
}
