package quota

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
)

// Bounds of a node's calls.
const (
	// askTimeout bounds all that is done for a request that waits.
	askTimeout = 300 * time.Millisecond
	// callTimeout bounds a call to the keeper of a book in the own zone: some round trips,
	// and its own calls.
	callTimeout = 100 * time.Millisecond
	// onwardTimeout bounds the calls of a keeper, and of who stands in for it.
	onwardTimeout = 40 * time.Millisecond
	// goneAfter is when a caller should come back whose request has left meanwhile.
	goneAfter = 100 * time.Millisecond
)

// waiter is a request that waits for a token.
type waiter struct {
	answer chan verdict
	gone   atomic.Bool // it has left, or has its verdict
}

// verdict is what becomes of a request.
type verdict struct {
	ok    bool
	after time.Duration
}

// wait waits for the answer of the keeper. Requests that come while it is asked are asked for
// together afterwards.
func (d *Desk) wait(ctx context.Context, a *account) (time.Duration, bool) {
	w := &waiter{answer: make(chan verdict, 1)}
	a.mu.Lock()
	a.waiting = append(a.waiting, w)
	lead := !a.asking
	a.asking = true
	a.mu.Unlock()
	if lead {
		d.askRound(ctx, a)
	}
	select {
	case v := <-w.answer:
		return v.after, v.ok
	case <-ctx.Done():
	}
	if w.gone.CompareAndSwap(false, true) {
		return goneAfter, false
	}
	v := <-w.answer
	return v.after, v.ok
}

// askRound asks for those that wait now. Who has come meanwhile is asked for by a round of
// its own, so that nobody's request waits for more than two.
func (d *Desk) askRound(ctx context.Context, a *account) {
	a.mu.Lock()
	round := a.waiting
	a.waiting = nil
	a.asking = len(round) > 0
	a.mu.Unlock()
	if len(round) == 0 {
		return
	}
	// The others' tokens don't depend on whether the first one's caller stays.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	r := a.Request(d.cfg.Now(), a.name, len(round))
	if g, ok := d.ask(ctx, r); ok {
		a.Reached(d.cfg.Now())
		a.settle(d.cfg.Now(), round, g)
	} else {
		d.settleByPiece(a, round)
	}
	a.mu.Lock()
	more := len(a.waiting) > 0
	a.asking = more
	a.mu.Unlock()
	if more {
		go d.askRound(context.Background(), a)
	}
}

// settle shares out a grant.
func (a *account) settle(now time.Time, round []*waiter, g quota.Grant) {
	var short []*waiter
	for _, w := range round {
		switch {
		case g.Tokens == 0:
			short = append(short, w)
		case w.give(verdict{ok: true}):
			g.Tokens--
		}
	}
	a.Put(now, g.Tokens)
	if len(short) == 0 {
		return
	}
	for i, after := range a.Refuse(now, g, len(short)) {
		short[i].give(verdict{after: after})
	}
}

// settleByPiece lets requests in by the node's even piece: no keeper was reached.
func (d *Desk) settleByPiece(a *account, round []*waiter) {
	now := d.cfg.Now()
	for _, w := range round {
		d.counts.pieces.Inc()
		after, ok := a.Piece(now, d.cfg.Bounds, d.fleet(now), d.rand.Float64())
		w.give(verdict{ok: ok, after: after})
	}
}

// assumedFleet is the number of nodes while the node knows too little to tell.
const assumedFleet = 64

func (d *Desk) fleet(now time.Time) int {
	m := d.members.Load()
	if !m.Minting(now) {
		if m != nil {
			return max(m.Fleet, assumedFleet)
		}
		return assumedFleet
	}
	return m.Fleet
}

// give tells a request its verdict, and reports whether it was still there.
func (w *waiter) give(v verdict) bool {
	if !w.gone.CompareAndSwap(false, true) {
		return false
	}
	w.answer <- v
	return true
}
