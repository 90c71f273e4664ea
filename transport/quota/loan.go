package quota

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// loanPause is the time for which an owner requests no further loan after it received less than its
// shortfall. It is also the Retry-After delay and spacing of a grant if no other zone assigned a slot.
const loanPause = 100 * time.Millisecond

// loan is the state of borrowing tokens for one organisation. At most one round of calls to the
// other zones is in progress.
type loan struct {
	mu    sync.Mutex
	done  chan struct{} // closed when the round in progress ends; nil if there is none
	pause time.Time     // no loan is requested before this time
}

// borrow requests tokens from the owners in the other zones and waits until they are added to the
// ledger. If another request already borrows for the organisation, it waits for that loan instead.
func (l *Limiter) borrow(ctx context.Context, organisation string, rate model.Rate, shortfall float64) {
	v, ok := l.loans.Load(organisation)
	if !ok {
		v, _ = l.loans.LoadOrStore(organisation, new(loan))
	}
	b := v.(*loan)
	b.mu.Lock()
	if l.cfg.Now().Before(b.pause) {
		b.mu.Unlock()
		return
	}
	if done := b.done; done != nil {
		b.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		return
	}
	done := make(chan struct{})
	b.done = done
	b.mu.Unlock()
	got := l.borrowFromZones(ctx, organisation, rate, shortfall+l.ledger.Demand(l.cfg.Now(), organisation)*loanLookahead.Seconds())
	b.mu.Lock()
	b.done = nil
	if got < shortfall {
		b.pause = l.cfg.Now().Add(loanPause)
	}
	b.mu.Unlock()
	close(done)
}

// loanLookahead is the time for which an owner borrows in advance: besides its shortfall it requests
// the tokens for its zone's demand over this time.
const loanLookahead = 40 * time.Millisecond

// borrowFromZones requests want tokens from each of the other zones concurrently, and from the
// node's own deposit at the standby. It adds the received tokens to the ledger and returns their
// number.
func (l *Limiter) borrowFromZones(ctx context.Context, organisation string, rate model.Rate, want float64) float64 {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), nestedCallTimeout)
	defer cancel()
	members := l.members.Load()
	responses := make(chan *Response)
	calls := 0
	for zone := range members.Zones {
		if zone == l.cfg.Zone {
			continue
		}
		calls++
		go func() {
			responses <- l.callZone(ctx, zone, organisation, &Message{Kind: KindBorrow, Organisation: organisation, Want: want})
		}()
	}
	got := l.reclaimDeposit(ctx, organisation, rate, want)
	for range calls {
		if a := <-responses; a != nil && a.Owned {
			got += a.Tokens
			l.ledger.Receive(l.cfg.Now(), organisation, rate, a.Tokens)
		}
	}
	l.counters.borrowed.Add(int(got))
	return got
}
