package share

import (
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// grant is an amount that holds for a time.
type grant struct {
	amount   Amount
	until    time.Time
	sequence uint64 // of the message that carried it
}

// covers reports whether g allows all that o allows.
func (g grant) covers(o grant) bool {
	return g.amount.larger(o.amount) == g.amount && !g.until.Before(o.until)
}

// ledger remembers what was granted to whom. A grant counts until it has
// expired or the claimant has confirmed a later one: the later one may be lost.
type ledger map[string]map[model.NodeID][]grant

// live returns the most that a claimant may be using of a limit.
func (l ledger) live(limit string, id model.NodeID, now time.Time) Amount {
	var most Amount
	for _, g := range l[limit][id] {
		if now.Before(g.until) {
			most = most.larger(g.amount)
		}
	}
	return most
}

// others returns the most that all claimants but id may be using.
func (l ledger) others(limit string, id model.NodeID, now time.Time) Amount {
	var sum Amount
	for other := range l[limit] {
		if other != id {
			sum = sum.plus(l.live(limit, other, now))
		}
	}
	return sum
}

// put adds a grant in place of those it covers. It takes over the lowest of
// their sequences: since that message the claimant has had no more than g.
func (l ledger) put(limit string, id model.NodeID, g grant) {
	if l[limit] == nil {
		l[limit] = make(map[model.NodeID][]grant)
	}
	var kept []grant
	lowest := g.sequence
	for _, o := range l[limit][id] {
		if g.covers(o) {
			lowest = min(lowest, o.sequence)
			continue
		}
		kept = append(kept, o)
	}
	g.sequence = lowest
	l[limit][id] = append(kept, g)
}

// putAll adds grants that the claimant reports to hold from before.
func (l ledger) putAll(id model.NodeID, held map[string]Amount, until time.Time) {
	for limit, a := range held {
		if a != (Amount{}) {
			l.put(limit, id, grant{amount: a, until: until})
		}
	}
}

// confirm forgets, for each limit, the grants that an applied one replaced.
func (l ledger) confirm(id model.NodeID, applied uint64) {
	for _, claimants := range l {
		var newest uint64
		for _, g := range claimants[id] {
			if g.sequence <= applied {
				newest = max(newest, g.sequence)
			}
		}
		if grants, any := claimants[id]; any {
			claimants[id] = slices.DeleteFunc(grants, func(g grant) bool { return g.sequence < newest })
		}
	}
}

// expire forgets the grants that have expired.
func (l ledger) expire(now time.Time) {
	for limit, claimants := range l {
		for id, grants := range claimants {
			kept := slices.DeleteFunc(grants, func(g grant) bool { return !now.Before(g.until) })
			claimants[id] = kept
			if len(kept) == 0 {
				delete(claimants, id)
			}
		}
		if len(claimants) == 0 {
			delete(l, limit)
		}
	}
}

// sequence numbers messages. It rises over restarts too, as far as the host's
// clock does.
type sequence uint64

func (s *sequence) next(now time.Time) uint64 {
	*s = max(*s+1, sequence(now.UnixNano()))
	return uint64(*s)
}
