package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Lease holds the tokens of one organisation that one node was granted in advance. It is safe
// for concurrent use; Take acquires no lock.
type Lease struct {
	rate atomic.Pointer[model.Rate]
	// held is the number of tokens, valid until expiry, which is in Unix nanoseconds.
	held, expiry atomic.Int64
	// refuseUntil is the time in Unix nanoseconds until which the node refuses requests itself,
	// without a request to the ledger.
	refuseUntil atomic.Int64

	mu        sync.Mutex
	demand    rateEstimate
	nextRetry time.Time // when the next refused request should be retried
	spacing   time.Duration
	// refusedAt is when a ledger last granted too few tokens.
	refusedAt      time.Time
	refusedLocally int // requests that the node refused itself since the last request to the ledger
	requestedSlots int // retry slots requested from the ledger with the last request
	evenShare      evenShare
	ownerReached   time.Time // when an owner last responded
}

// NewLease returns an empty lease.
func NewLease(rate model.Rate) *Lease {
	l := new(Lease)
	l.rate.Store(&rate)
	return l
}

// SetRate sets the organisation's quota. If it differs from the previous one, the held tokens and
// the current refusal are dropped.
func (l *Lease) SetRate(rate model.Rate) {
	old := l.rate.Load()
	if *old == rate || !l.rate.CompareAndSwap(old, &rate) {
		return
	}
	l.held.Store(0)
	l.refuseUntil.Store(0)
}

// Take takes one of the held tokens and reports whether there was one.
func (l *Lease) Take(now time.Time) bool {
	for now.UnixNano() < l.expiry.Load() {
		held := l.held.Load()
		if held <= 0 {
			return false
		}
		// held must not drop below 0, not even briefly: Request may take all of it concurrently.
		if l.held.CompareAndSwap(held, held-1) {
			return true
		}
	}
	return false
}

// Put adds tokens, which are valid for reserveLifetime. It drops expired tokens and renews the
// others.
func (l *Lease) Put(now time.Time, tokens int) {
	if tokens <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.UnixNano() >= l.expiry.Load() {
		l.held.Store(0)
	}
	l.expiry.Store(now.Add(reserveLifetime).UnixNano())
	l.held.Add(int64(tokens))
}

// localRefusalTime limits the time for which a node refuses requests without a new request to the
// ledger.
const localRefusalTime = 100 * time.Millisecond

// RecordOwnerResponse records that an owner has responded.
func (l *Lease) RecordOwnerResponse(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownerReached = now
}

// Refuse records a grant with too few tokens. It returns the Retry-After delays of the unserved
// requests, spaced one after the other.
func (l *Lease) Refuse(now time.Time, g Grant, unserved int) []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedAt = now
	retryAfter := make([]time.Duration, unserved)
	for i := range retryAfter {
		retryAfter[i] = min(g.RetryAfter+time.Duration(i)*g.Spacing, slotHorizon)
	}
	l.nextRetry, l.spacing = now.Add(g.RetryAfter+time.Duration(unserved)*g.Spacing), g.Spacing
	l.refuseUntil.Store(now.Add(min(g.RetryAfter, localRefusalTime)).UnixNano())
	return retryAfter
}

// RefuseLocally reports whether the node refuses a request without a request to the ledger, and
// returns its Retry-After delay. It refuses as many requests as it requested retry slots for, and
// further ones only if their delay reaches slotOrderHorizon, which is longer than callers wait.
func (l *Lease) RefuseLocally(now time.Time) (retryAfter time.Duration, refused bool) {
	if now.UnixNano() >= l.refuseUntil.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	retryAfter = l.nextRetry.Sub(now)
	if l.refusedLocally >= l.requestedSlots && retryAfter < slotOrderHorizon {
		return 0, false
	}
	l.demand.add(now, 1)
	l.refusedLocally++
	l.nextRetry = l.nextRetry.Add(l.spacing)
	return min(max(retryAfter, time.Millisecond), slotHorizon), true
}

// scarcityTime is how long after a refusal by a ledger tokens count as scarce.
const scarcityTime = 300 * time.Millisecond

// Scarce reports whether a ledger had too few tokens within scarcityTime, and returns the
// Retry-After delay of a request that is refused for this reason: scarce tokens are kept for
// requests that can still be served in time.
func (l *Lease) Scarce(now time.Time) (retryAfter time.Duration, scarce bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.refusedAt) >= scarcityTime {
		return 0, false
	}
	return min(max(l.nextRetry.Sub(now), scarcityTime), slotHorizon), true
}

// slotOrderHorizon is the Retry-After delay from which the order of retry slots no longer matters.
const slotOrderHorizon = 5 * time.Second

// maxSlots limits the number of retry slots that a node requests.
const maxSlots = 1 << 10

// reserveHorizon is the period for whose expected demand a node requests tokens in advance.
const reserveHorizon = 100 * time.Millisecond

// Request returns the request to the ledger for need waiting requests. It includes the expired
// tokens, which the lease returns, and resets the count of local refusals.
func (l *Lease) Request(now time.Time, organisation string, need int) Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demand.add(now, float64(need))
	switch {
	case l.refusedLocally >= l.requestedSlots && l.refusedLocally > 0:
		l.requestedSlots = min(2*l.refusedLocally, maxSlots)
	case l.refusedLocally > 0:
		l.requestedSlots = l.refusedLocally
	default:
		l.requestedSlots = 1
	}
	r := Request{
		Organisation: organisation, Rate: *l.rate.Load(), Need: need, Refused: l.refusedLocally, Slots: l.requestedSlots,
		Reserve: int(l.demand.perSecond(now) * reserveHorizon.Seconds()),
	}
	if now.UnixNano() >= l.expiry.Load() {
		r.Return = float64(max(0, l.held.Swap(0)))
	}
	l.refusedLocally = 0
	return r
}
