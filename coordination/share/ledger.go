package share

import (
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// grant is an amount that is valid until a point in time.
type grant struct {
	amount   Amount
	until    time.Time
	sequence uint64 // of the message that carried the grant
}

// covers reports whether g allows at least what o allows, for at least as
// long.
func (g grant) covers(o grant) bool {
	return g.amount.larger(o.amount) == g.amount && !g.until.Before(o.until)
}

// ledger records the grants of each limit to each claimant. A grant counts
// until it expires or the claimant confirms a later one, because the message
// with the later one may be lost.
type ledger map[string]map[model.NodeID][]grant

// live returns the largest amount of a limit that a claimant may be using.
func (l ledger) live(limit string, id model.NodeID, now time.Time) Amount {
	var most Amount
	for _, g := range l[limit][id] {
		if now.Before(g.until) {
			most = most.larger(g.amount)
		}
	}
	return most
}

// liveExcept returns the largest amount of a limit that all claimants except
// id may be using together.
func (l ledger) liveExcept(limit string, id model.NodeID, now time.Time) Amount {
	var sum Amount
	for other := range l[limit] {
		if other != id {
			sum = sum.plus(l.live(limit, other, now))
		}
	}
	return sum
}

// put adds a grant and removes those that it covers. The new grant takes over
// the lowest of their sequences, because the claimant has had no more than g
// since the message with that sequence.
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

// putInherited adds the grants that a claimant reports to hold from an earlier
// issuer.
func (l ledger) putInherited(id model.NodeID, inUse map[string]Amount, until time.Time) {
	for limit, a := range inUse {
		if a != (Amount{}) {
			l.put(limit, id, grant{amount: a, until: until})
		}
	}
}

// confirm removes, for each limit, the grants older than the newest one that
// the claimant has applied. The argument applied is the sequence of the newest
// message whose grants the claimant keeps to.
func (l ledger) confirm(id model.NodeID, applied uint64) {
	for _, claimants := range l {
		var newest uint64
		for _, g := range claimants[id] {
			if g.sequence <= applied {
				newest = max(newest, g.sequence)
			}
		}
		if grants, found := claimants[id]; found {
			claimants[id] = slices.DeleteFunc(grants, func(g grant) bool { return g.sequence < newest })
		}
	}
}

// expire removes the grants that have expired.
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

// sequence generates message sequence numbers. They rise across restarts too,
// as long as the host's clock does not go back.
type sequence uint64

func (s *sequence) next(now time.Time) uint64 {
	*s = max(*s+1, sequence(now.UnixNano()))
	return uint64(*s)
}
