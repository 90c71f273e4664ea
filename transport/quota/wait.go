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
	// callTimeout bounds a call to the owner of a ledger in the own zone: some round trips,
	// and its own calls.
	callTimeout = 100 * time.Millisecond
	// onwardTimeout bounds the calls of an owner, and of its standby.
	onwardTimeout = 40 * time.Millisecond
	// leftAfter is when a caller should come back that has left while its request waited.
	leftAfter = 100 * time.Millisecond
)

// waiter is a request that waits for a token.
type waiter struct {
	answer chan verdict
	done   atomic.Bool // its caller has left, or it has its verdict
}

// verdict is what becomes of a request.
type verdict struct {
	ok    bool
	after time.Duration
}

// wait waits for the answer of the owner. Requests that come while it is asked are asked for
// together afterwards.
func (l *Limiter) wait(ctx context.Context, q *queue) (time.Duration, bool) {
	w := &waiter{answer: make(chan verdict, 1)}
	q.mu.Lock()
	q.waiting = append(q.waiting, w)
	lead := !q.asking
	q.asking = true
	q.mu.Unlock()
	if lead {
		go l.askRounds(q)
	}
	select {
	case v := <-w.answer:
		return v.after, v.ok
	case <-ctx.Done():
	}
	if w.done.CompareAndSwap(false, true) {
		return leftAfter, false
	}
	v := <-w.answer
	return v.after, v.ok
}

// askRounds asks for those that wait until nobody does. Who comes while a round is asked for
// is asked for by the next one, so that nobody's request waits for more than two.
func (l *Limiter) askRounds(q *queue) {
	for {
		q.mu.Lock()
		round := q.waiting
		q.waiting = nil
		q.asking = len(round) > 0
		q.mu.Unlock()
		if len(round) == 0 {
			return
		}
		l.askRound(q, round)
	}
}

// askRound asks for a round. It belongs to no single request: the others' tokens don't depend
// on whether the first one's caller stays.
func (l *Limiter) askRound(q *queue, round []*waiter) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	r := q.Request(l.cfg.Now(), q.name, len(round))
	g, ok := l.ask(ctx, r)
	if !ok {
		l.settleByEvenShare(q, round)
		return
	}
	q.RecordOwnerResponse(l.cfg.Now())
	q.settle(l.cfg.Now(), round, g)
}

// settle shares out a grant.
func (q *queue) settle(now time.Time, round []*waiter, g quota.Grant) {
	var short []*waiter
	for _, w := range round {
		switch {
		case g.Tokens == 0:
			short = append(short, w)
		case w.give(verdict{ok: true}):
			g.Tokens--
		}
	}
	q.Put(now, g.Tokens)
	if len(short) == 0 {
		return
	}
	for i, after := range q.Refuse(now, g, len(short)) {
		short[i].give(verdict{after: after})
	}
}

// settleByEvenShare lets requests in by the node's even share: no owner was reached.
func (l *Limiter) settleByEvenShare(q *queue, round []*waiter) {
	now := l.cfg.Now()
	for _, w := range round {
		l.counts.evenShares.Inc()
		after, ok := q.TakeEvenShare(now, l.cfg.Bounds, l.fleet(now), l.rand.Float64())
		w.give(verdict{ok: ok, after: after})
	}
}

// assumedFleet is the number of nodes while the node knows too little to tell.
const assumedFleet = 64

func (l *Limiter) fleet(now time.Time) int {
	m := l.members.Load()
	if !m.MayOwn(now) {
		if m != nil {
			return max(m.Fleet, assumedFleet)
		}
		return assumedFleet
	}
	return m.Fleet
}

// give tells a request its verdict, and reports whether it was still there.
func (w *waiter) give(v verdict) bool {
	if !w.done.CompareAndSwap(false, true) {
		return false
	}
	w.answer <- v
	return true
}
