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
	pause time.Time
}

// borrow asks the owners of the other zones for tokens and waits for them, or for those
// that another request has asked for.
func (l *Limiter) borrow(ctx context.Context, organisation string, rate model.Rate, lack float64) {
	v, ok := l.loans.Load(organisation)
	if !ok {
		v, _ = l.loans.LoadOrStore(organisation, new(loan))
	}
	o := v.(*loan)
	o.mu.Lock()
	if l.cfg.Now().Before(o.pause) {
		o.mu.Unlock()
		return
	}
	if done := o.done; done != nil {
		o.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		return
	}
	done := make(chan struct{})
	o.done = done
	o.mu.Unlock()
	got := l.askZones(ctx, organisation, rate, lack+l.ledger.Use(l.cfg.Now(), organisation)*loanAhead.Seconds())
	o.mu.Lock()
	o.done = nil
	if got < lack {
		o.pause = l.cfg.Now().Add(loanPause)
	}
	o.mu.Unlock()
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
		first, _ := members.Owners(zone, organisation)
		if zone == l.cfg.Zone || l.suspects.is(first.Node, l.cfg.Now()) {
			continue
		}
		asked++
		go func() {
			answers <- l.call(ctx, first, &Message{Kind: KindBorrow, Organisation: organisation, Want: want})
		}()
	}
	got := 0.0
	for range asked {
		if a := <-answers; a != nil && a.Owned {
			got += a.Tokens
			l.ledger.Receive(l.cfg.Now(), organisation, rate, a.Tokens)
		}
	}
	l.counts.borrowed.Add(int(got))
	return got
}
