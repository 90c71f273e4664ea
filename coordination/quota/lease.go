package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Lease is what one node holds of one organisation's tokens. It is safe for concurrent
// use; Take is without a lock where there is a token.
type Lease struct {
	rate atomic.Pointer[model.Rate]
	// held is the number of tokens, good until the moment ends, in Unix nanoseconds.
	held, ends atomic.Int64
	// refuseUntil is until when requests are refused without asking.
	refuseUntil atomic.Int64

	mu      sync.Mutex
	use     use
	next    time.Time // when the next refused request should come back
	spacing time.Duration
	// refusedAt is when a ledger last had too few tokens.
	refusedAt time.Time
	refused   int // since the last question
	slots     int // asked for with it
	evenShare evenShare
	reached   time.Time // when an owner last answered
}

// NewLease returns an empty lease.
func NewLease(rate model.Rate) *Lease {
	l := new(Lease)
	l.rate.Store(&rate)
	return l
}

// Follow takes over an organisation's quota: what was held by another one is gone.
func (l *Lease) Follow(rate model.Rate) {
	old := l.rate.Load()
	if *old == rate || !l.rate.CompareAndSwap(old, &rate) {
		return
	}
	l.held.Store(0)
	l.refuseUntil.Store(0)
}

// Take takes a token that the node holds.
func (l *Lease) Take(now time.Time) bool {
	for now.UnixNano() < l.ends.Load() {
		held := l.held.Load()
		if held <= 0 {
			return false
		}
		// Never below 0, not even for a moment: others may empty the lease meanwhile.
		if l.held.CompareAndSwap(held, held-1) {
			return true
		}
	}
	return false
}

// Put adds tokens for reserveTime.
func (l *Lease) Put(now time.Time, tokens int) {
	if tokens <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.UnixNano() >= l.ends.Load() {
		l.held.Store(0)
	}
	l.ends.Store(now.Add(reserveTime).UnixNano())
	l.held.Add(int64(tokens))
}

// refusalTime bounds for how long a node refuses by an answer without asking again.
const refusalTime = 100 * time.Millisecond

// Reached notes that an owner has answered.
func (l *Lease) Reached(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reached = now
}

// Refuse notes the answer of a ledger that has no token. It returns when the requests that
// got none should come back, one after the other.
func (l *Lease) Refuse(now time.Time, g Grant, short int) []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedAt = now
	after := make([]time.Duration, short)
	for i := range after {
		after[i] = min(g.After+time.Duration(i)*g.Spacing, promiseMax)
	}
	l.next, l.spacing = now.Add(g.After+time.Duration(short)*g.Spacing), g.Spacing
	l.refuseUntil.Store(now.Add(min(g.After, refusalTime)).UnixNano())
	return after
}

// Refused reports whether a request is refused without asking, and when it should come back.
// Only as many are as the ledger was asked slots for, or where these lie farther ahead than
// callers wait.
func (l *Lease) Refused(now time.Time) (after time.Duration, refused bool) {
	if now.UnixNano() >= l.refuseUntil.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	after = l.next.Sub(now)
	if l.refused >= l.slots && after < farAhead {
		return 0, false
	}
	l.use.add(now, 1)
	l.refused++
	l.next = l.next.Add(l.spacing)
	return min(max(after, time.Millisecond), promiseMax), true
}

// scarceTime is for how long after a refusal tokens are held to be scarce.
const scarceTime = 300 * time.Millisecond

// Scarce reports whether there were too few tokens a moment ago, and when to come back: what
// there is then goes to requests that can still be in time.
func (l *Lease) Scarce(now time.Time) (after time.Duration, scarce bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.refusedAt) >= scarceTime {
		return 0, false
	}
	return min(max(l.next.Sub(now), scarceTime), promiseMax), true
}

// farAhead is how far ahead it no longer matters which request gets which slot.
const farAhead = 5 * time.Second

// maxSlots bounds for how many requests a node asks when they should come back.
const maxSlots = 1 << 10

// reserveUse is for how much of an organisation's use a node would like to hold tokens.
const reserveUse = 100 * time.Millisecond

// Request returns what to ask for requests that wait.
func (l *Lease) Request(now time.Time, organisation string, need int) Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.use.add(now, float64(need))
	switch {
	case l.refused >= l.slots && l.refused > 0:
		l.slots = min(2*l.refused, maxSlots)
	case l.refused > 0:
		l.slots = l.refused
	default:
		l.slots = 1
	}
	r := Request{
		Organisation: organisation, Rate: *l.rate.Load(), Need: need, Refused: l.refused, Slots: l.slots,
		Reserve: int(l.use.perSecond(now) * reserveUse.Seconds()),
	}
	if now.UnixNano() >= l.ends.Load() {
		r.Return = float64(max(0, l.held.Swap(0)))
	}
	l.refused = 0
	return r
}
