package quota

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
)

// Timeouts of requests for tokens, and the Retry-After delay of a cancelled one.
const (
	// acquireTimeout bounds a whole round of requesting tokens, including retries at the standby
	// and in other zones.
	acquireTimeout = 300 * time.Millisecond
	// callTimeout bounds a call to the owner of a ledger in the node's zone: a few round trips,
	// and the owner's own nested calls.
	callTimeout = 100 * time.Millisecond
	// nestedCallTimeout bounds the calls that an owner or its standby makes to handle a request.
	nestedCallTimeout = 40 * time.Millisecond
	// cancelledRetryAfter is the Retry-After delay of a request whose caller cancelled it while it
	// waited.
	cancelledRetryAfter = 100 * time.Millisecond
)

// waiter is a request that waits for a token.
type waiter struct {
	decision chan decision
	done     atomic.Bool // its caller has cancelled it, or it has a decision
}

// decision is the outcome of a waiting request: admitted, or the Retry-After delay of the refusal.
type decision struct {
	ok         bool
	retryAfter time.Duration
}

// wait queues a request for a token and waits for the decision. Tokens for requests that arrive
// during a round are requested together in the next one.
func (l *Limiter) wait(ctx context.Context, q *queue) (time.Duration, bool) {
	w := &waiter{decision: make(chan decision, 1)}
	q.mu.Lock()
	q.waiting = append(q.waiting, w)
	leader := !q.requesting
	q.requesting = true
	q.mu.Unlock()
	if leader {
		go l.acquireRounds(q)
	}
	select {
	case v := <-w.decision:
		return v.retryAfter, v.ok
	case <-ctx.Done():
	}
	if w.done.CompareAndSwap(false, true) {
		return cancelledRetryAfter, false
	}
	v := <-w.decision
	return v.retryAfter, v.ok
}

// acquireRounds requests tokens for the waiting requests, in rounds, until none is left. A request
// that arrives during a round takes part in the next one, so it waits for at most two rounds.
func (l *Limiter) acquireRounds(q *queue) {
	for {
		q.mu.Lock()
		round := q.waiting
		q.waiting = nil
		q.requesting = len(round) > 0
		q.mu.Unlock()
		if len(round) == 0 {
			return
		}
		l.acquireRound(q, round)
	}
}

// acquireRound requests tokens for a round of waiting requests. It uses the context of none of them,
// so that the caller of the first request can't cancel the round for the others.
func (l *Limiter) acquireRound(q *queue, round []*waiter) {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	r := q.Request(l.cfg.Now(), q.name, len(round))
	g, ok := l.acquire(ctx, r)
	if !ok {
		l.decideByEvenShare(q, round)
		return
	}
	q.RecordOwnerResponse(l.cfg.Now())
	q.distribute(l.cfg.Now(), round, g)
}

// distribute assigns the tokens of a grant to the requests of a round. Tokens left over go to the
// lease; requests without a token are refused.
func (q *queue) distribute(now time.Time, round []*waiter, g quota.Grant) {
	var unserved []*waiter
	for _, w := range round {
		switch {
		case g.Tokens == 0:
			unserved = append(unserved, w)
		case w.decide(decision{ok: true}):
			g.Tokens--
		}
	}
	q.Put(now, g.Tokens)
	if len(unserved) == 0 {
		return
	}
	for i, retryAfter := range q.Refuse(now, g, len(unserved)) {
		unserved[i].decide(decision{retryAfter: retryAfter})
	}
}

// decideByEvenShare admits requests within the node's even share, for a round that reached no owner.
func (l *Limiter) decideByEvenShare(q *queue, round []*waiter) {
	now := l.cfg.Now()
	for _, w := range round {
		l.counters.evenShares.Inc()
		retryAfter, ok := q.TakeEvenShare(now, l.cfg.Bounds, l.fleetSize(now), l.rand.Float64())
		w.decide(decision{ok: ok, retryAfter: retryAfter})
	}
}

// assumedFleetSize is the minimum number of nodes that is assumed while the node's view of the members
// hasn't settled. It keeps the even share small.
const assumedFleetSize = 64

// fleetSize returns the number of nodes among which even shares divide a quota.
func (l *Limiter) fleetSize(now time.Time) int {
	m := l.members.Load()
	if !m.MayOwn(now) {
		if m != nil {
			return max(m.Fleet, assumedFleetSize)
		}
		return assumedFleetSize
	}
	return m.Fleet
}

// decide sends a request its decision. It returns false if the caller has cancelled the request.
func (w *waiter) decide(v decision) bool {
	if !w.done.CompareAndSwap(false, true) {
		return false
	}
	w.decision <- v
	return true
}
