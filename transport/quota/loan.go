package quota

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// loanPause is for how long other zones aren't asked again that had nothing to lend.
const loanPause = 100 * time.Millisecond

// loan is the borrowing for one organisation: one call is under way at a time.
type loan struct {
	mu    sync.Mutex
	done  chan struct{} // of the call under way; nil without one
	pause time.Time     // until when other zones aren't asked
}

// borrow asks the owners of the other zones for tokens and waits for them, or for those
// that another request has asked for.
func (l *Limiter) borrow(ctx context.Context, organisation string, rate model.Rate, lack float64) {
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
	got := l.askZones(ctx, organisation, rate, lack+l.ledger.Demand(l.cfg.Now(), organisation)*loanAhead.Seconds())
	b.mu.Lock()
	b.done = nil
	if got < lack {
		b.pause = l.cfg.Now().Add(loanPause)
	}
	b.mu.Unlock()
	close(done)
}

// loanAhead is for how much of its zone's use an owner borrows more than it lacks.
const loanAhead = 40 * time.Millisecond

// askZones asks all other zones at the same time and enters what they give. It returns how
// much that was.
func (l *Limiter) askZones(ctx context.Context, organisation string, rate model.Rate, want float64) float64 {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), onwardTimeout)
	defer cancel()
	members := l.members.Load()
	answers := make(chan *Answer)
	asked := 0
	for zone := range members.Zones {
		if zone == l.cfg.Zone {
			continue
		}
		asked++
		go func() {
			answers <- l.askZone(ctx, zone, organisation, &Message{Kind: KindBorrow, Organisation: organisation, Want: want})
		}()
	}
	got := l.takeBack(ctx, organisation, rate, want)
	for range asked {
		if a := <-answers; a != nil && a.Owned {
			got += a.Tokens
			l.ledger.Receive(l.cfg.Now(), organisation, rate, a.Tokens)
		}
	}
	l.counts.borrowed.Add(int(got))
	return got
}
