package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Account is what one node holds of one organisation's tokens. It is safe for concurrent
// use; Take is without a lock where there is a token.
type Account struct {
	rate atomic.Pointer[model.Rate]
	// held is the number of tokens, good until the moment ends, in Unix nanoseconds.
	held, ends atomic.Int64
	// refuseUntil is until when requests are refused without asking.
	refuseUntil atomic.Int64

	mu      sync.Mutex
	use     use
	next    time.Time // when the next refused request should come back
	spacing time.Duration
	// refusedAt is when a book last had too few tokens.
	refusedAt time.Time
	refused   int // since the last question
	slots     int // asked for with it
	piece     piece
	reached   time.Time // when a keeper last answered
}

// NewAccount returns an empty account.
func NewAccount(rate model.Rate) *Account {
	a := new(Account)
	a.rate.Store(&rate)
	return a
}

// Follow takes over an organisation's quota: what was held by another one is gone.
func (a *Account) Follow(rate model.Rate) {
	old := a.rate.Load()
	if *old == rate || !a.rate.CompareAndSwap(old, &rate) {
		return
	}
	a.held.Store(0)
	a.refuseUntil.Store(0)
}

// Take takes a token that the node holds.
func (a *Account) Take(now time.Time) bool {
	if a.held.Load() <= 0 || now.UnixNano() >= a.ends.Load() {
		return false
	}
	if a.held.Add(-1) >= 0 {
		return true
	}
	a.held.Add(1)
	return false
}

// Put adds tokens for reserveTime.
func (a *Account) Put(now time.Time, tokens int) {
	if tokens <= 0 {
		return
	}
	if now.UnixNano() >= a.ends.Load() {
		a.held.Store(0)
	}
	a.ends.Store(now.Add(reserveTime).UnixNano())
	a.held.Add(int64(tokens))
}

// refusalTime bounds for how long a node refuses by an answer without asking again.
const refusalTime = 100 * time.Millisecond

// Reached notes that a keeper has answered.
func (a *Account) Reached(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reached = now
}

// Refuse notes the answer of a book that has no token. It returns when the requests that
// got none should come back, one after the other.
func (a *Account) Refuse(now time.Time, g Grant, short int) []time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusedAt = now
	after := make([]time.Duration, short)
	for i := range after {
		after[i] = min(g.After+time.Duration(i)*g.Spacing, promiseMax)
	}
	a.next, a.spacing = now.Add(g.After+time.Duration(short)*g.Spacing), g.Spacing
	a.refuseUntil.Store(now.Add(min(g.After, refusalTime)).UnixNano())
	return after
}

// Refused reports whether a request is refused without asking, and when it should come back.
// Only as many are as the book was asked slots for, or where these lie farther ahead than
// callers wait.
func (a *Account) Refused(now time.Time) (after time.Duration, refused bool) {
	if now.UnixNano() >= a.refuseUntil.Load() {
		return 0, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	after = a.next.Sub(now)
	if a.refused >= a.slots && after < farAhead {
		return 0, false
	}
	a.use.add(now, 1)
	a.refused++
	a.next = a.next.Add(a.spacing)
	return min(max(after, time.Millisecond), promiseMax), true
}

// scarceTime is for how long after a refusal tokens are held to be scarce.
const scarceTime = 300 * time.Millisecond

// Scarce reports whether there were too few tokens a moment ago, and when to come back: what
// there is then goes to requests that can still be in time.
func (a *Account) Scarce(now time.Time) (after time.Duration, scarce bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.refusedAt) >= scarceTime {
		return 0, false
	}
	return min(max(a.next.Sub(now), scarceTime), promiseMax), true
}

// farAhead is how far ahead it no longer matters which request gets which slot.
const farAhead = 5 * time.Second

// maxSlots bounds for how many requests a node asks when they should come back.
const maxSlots = 1 << 10

// reserveUse is for how much of an organisation's use a node would like to hold tokens.
const reserveUse = 100 * time.Millisecond

// Request returns what to ask for requests that wait.
func (a *Account) Request(now time.Time, organisation string, need int) Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.use.add(now, float64(need))
	switch {
	case a.refused >= a.slots && a.refused > 0:
		a.slots = min(2*a.refused, maxSlots)
	case a.refused > 0:
		a.slots = a.refused
	default:
		a.slots = 1
	}
	r := Request{
		Organisation: organisation, Rate: *a.rate.Load(), Need: need, Refused: a.refused, Slots: a.slots,
		Reserve: int(a.use.perSecond(now) * reserveUse.Seconds()),
	}
	if now.UnixNano() >= a.ends.Load() {
		r.Return = float64(max(0, a.held.Swap(0)))
	}
	a.refused = 0
	return r
}

// Piece takes leave from the node's even piece of the quota, for while no keeper is reached.
func (a *Account) Piece(now time.Time, cfg Config, nodes int, lot float64) (after time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rate, n := *a.rate.Load(), float64(max(1, nodes))
	if now.Sub(a.piece.began) > cfg.Window {
		a.piece = piece{level: piecePart * cfg.allowance(rate) / n, at: now, began: now}
	}
	if a.reached.After(a.piece.at) {
		a.piece.at = now // the keeper gave out the whole meanwhile
	}
	return a.piece.take(now, careful*rate.PerSecond/n, max(1, float64(rate.Burst)/n), lot)
}

// piece is a node's even piece of a quota.
type piece struct {
	level float64
	at    time.Time
	began time.Time // when it last began with more than nothing
}

// take takes a token. A part of one admits by chance and is gone in either case, so that
// many small pieces admit their sum.
func (p *piece) take(now time.Time, perSecond, burst, lot float64) (time.Duration, bool) {
	p.level = min(burst, p.level+perSecond*now.Sub(p.at).Seconds())
	p.at = now
	if p.level >= 1 {
		p.level--
		return 0, true
	}
	chance := p.level
	p.level = 0
	if lot < chance {
		return 0, true
	}
	return min(time.Duration(float64(time.Second)/perSecond), pieceAfterMax), false
}

// pieceAfterMax bounds when a caller comes back that a piece has refused: a keeper is
// found by then.
const pieceAfterMax = time.Second
