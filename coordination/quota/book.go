package quota

import (
	"math"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Book holds the tokens of the organisations that a node keeps. It is safe for concurrent
// use.
type Book struct {
	cfg Config

	mu    sync.Mutex
	pages map[string]*page
	// share is the part of the zone's members that this node sees.
	share float64
}

// page is the book of one organisation.
type page struct {
	rate  model.Rate
	level float64
	at    time.Time // when level was last brought up to date
	// kept says that the node comes first for the organisation; else it stands in.
	kept  bool
	asked time.Time
	// next is when the first token comes that nobody was promised.
	next time.Time
	// use is the rate at which tokens were asked for lately, a second.
	use use
	// reserved is what nodes hold in reserve.
	reserved reserved
}

// NewBook returns an empty book.
func NewBook(cfg Config) *Book { return &Book{cfg: cfg, pages: make(map[string]*page), share: 1} }

// standInTime is how long a stand-in that nobody asks goes on minting: it must not save up
// what the keeper mints too.
const standInTime = time.Second

// Keep tells which organisations the node keeps the books of, with their quotas, and which part
// of the zone's members it sees: it mints no more than that part. It returns what the books of
// others hold that it kept until now: they go to their new keepers.
func (b *Book) Keep(now time.Time, share float64, quotas map[string]model.Rate, keeps func(organisation string) bool) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	var left map[string]float64
	for name, p := range b.pages {
		if _, limited := quotas[name]; !limited {
			delete(b.pages, name)
		} else if p.kept && !keeps(name) {
			p.bring(b.part(p.rate), now)
			if left == nil {
				left = make(map[string]float64)
			}
			left[name] = p.level
			delete(b.pages, name)
		}
	}
	for name, rate := range quotas {
		if keeps(name) {
			b.page(now, name, rate).kept = true
		}
	}
	return left
}

// page returns an organisation's page, up to date. A new one begins with little, since
// what was let in before still counts.
func (b *Book) page(now time.Time, name string, rate model.Rate) *page {
	p := b.pages[name]
	if p == nil {
		p = &page{rate: rate, level: b.share * b.cfg.start(rate), at: now, asked: now}
		b.pages[name] = p
	}
	if !p.kept && now.Sub(p.asked) > standInTime {
		p.level, p.at = b.share*b.cfg.start(rate), now
	}
	if p.rate != rate {
		p.rate, p.next = rate, time.Time{}
		p.level = min(p.level, b.part(rate).burst)
	}
	of := b.part(p.rate)
	if !p.kept {
		of.perSecond *= careful
	}
	p.bring(of, now)
	return p
}

// part returns the size of a page.
func (b *Book) part(rate model.Rate) size {
	of := b.cfg.part(rate)
	return size{perSecond: of.perSecond * b.share, burst: max(1, of.burst*b.share)}
}

// bring mints what has come since the last time.
func (p *page) bring(of size, now time.Time) {
	room := of.burst - p.reserved.sum(now)
	passed := now.Sub(p.at)
	if passed <= 0 {
		return
	}
	p.at = now
	if passed > borrowTime {
		p.level = min(p.level, room)
	}
	p.level = max(p.level, min(room, p.level+of.perSecond*passed.Seconds()))
}

// borrowTime is for how long tokens of other zones may lie beyond what a book holds of its
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
}

// Grant answers a Request.
type Grant struct {
	// Tokens is what the asker gets.
	Tokens int
	// After is when the first token comes for what the asker didn't get, and Spacing the
	// time between two: one for each request that waits and each slot.
	After, Spacing time.Duration
	// Lack is how many tokens are missing for what the asker needs.
	Lack float64
}

// Preview returns how many tokens are missing for a request, and counts it as use.
func (b *Book) Preview(now time.Time, r Request) (lack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.page(now, r.Organisation, r.Rate)
	p.asked = now
	p.add(b.cfg, r.Return)
	p.use.add(now, float64(r.Need+r.Refused))
	return max(0, float64(r.Need)-p.level)
}

// Ask gives tokens out. Those that get none are told when to come back, one after the other.
func (b *Book) Ask(now time.Time, r Request) Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.page(now, r.Organisation, r.Rate)
	p.asked = now
	whole := min(r.Need, int(p.level))
	p.level -= float64(whole)
	g := Grant{Tokens: whole}
	if whole < r.Need {
		g.After, g.Spacing = p.promise(b.part(p.rate), now, r.Need-whole+r.Slots)
		return g
	}
	if p.level >= b.part(p.rate).burst*plenty {
		p.next = now // who was promised more has not come back
	}
	// Half of what there is stays for others, and half of what there may be is no reserve.
	room := b.part(p.rate).burst/2 - p.reserved.sum(now)
	if extra := min(r.Reserve, int(min(room, p.level/2))); extra > 0 {
		p.level -= float64(extra)
		p.reserved.add(now, float64(extra))
		g.Tokens += extra
	}
	return g
}

// plenty is the part of what a book may hold from which on nothing is promised any more.
const plenty = 0.25

// promiseMax bounds how far ahead tokens are promised.
const promiseMax = 30 * time.Second

// promise returns when the next token comes that nobody was promised, and takes it and those
// that follow.
func (p *page) promise(of size, now time.Time, slots int) (after, spacing time.Duration) {
	each := float64(time.Second) / of.perSecond
	first := now.Add(time.Duration(max(0, 1-p.level) * each))
	if p.next.Before(first) {
		p.next = first
	}
	after = p.next.Sub(now)
	if end := now.Add(promiseMax); p.next.Before(end) {
		p.next = p.next.Add(time.Duration(min(float64(slots)*each, float64(promiseMax))))
	}
	return min(after, promiseMax), time.Duration(min(each, float64(promiseMax)))
}

// lendKeep is for how long a book keeps what its own zone asks for before it lends.
const lendKeep = 200 * time.Millisecond

// Lend gives tokens to the keeper of another zone: up to half of what the own zone doesn't
// need at once.
func (b *Book) Lend(now time.Time, organisation string, rate model.Rate, want float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.page(now, organisation, rate)
	p.asked = now
	spare := p.level - p.use.perSecond(now)*lendKeep.Seconds()
	lent := max(0, min(want, spare/2))
	p.level -= lent
	return lent
}

// Receive adds tokens that another keeper has given.
func (b *Book) Receive(now time.Time, organisation string, rate model.Rate, tokens float64) {
	if !(tokens > 0) || math.IsInf(tokens, 0) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.page(now, organisation, rate)
	p.add(b.cfg, tokens)
}

// add adds tokens that were minted elsewhere. Several zones' may come together for one that
// has a burst, so the bound is that of the whole quota; see borrowTime.
func (p *page) add(cfg Config, tokens float64) {
	p.level = min(p.level+max(0, tokens), max(1, cfg.hold(p.rate)))
}

// Use returns the requests a second that the node's zone asked for lately.
func (b *Book) Use(now time.Time, organisation string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pages[organisation]; p != nil {
		return p.use.perSecond(now)
	}
	return 0
}
