package balance

import (
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/backoff"
)

// ejectRetry is the time until the next attempt to eject a server that could not be
// ejected because the maximum number of servers was ejected already.
const ejectRetry = 100 * time.Millisecond

// eject removes a server from the candidates for a time, unless the maximum number of
// servers of its group is ejected already. It is called only after failures, so it may
// take the writers' lock.
func (p *Picker) eject(g *group, s *server, at int64) {
	if s.ejected() || at < s.ejectRetryAt.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.ejected() {
		return
	}
	if g.ejectedCount()+1 > g.maxEjected() {
		s.ejectRetryAt.Store(at + int64(ejectRetry))
		return
	}
	p.resetEjections(s, at)
	s.ejectedUntil.Store(at + int64(p.nextEjectTime(s)))
}

// resetEjections resets the doubling of a server's ejection time if its last ejection
// ended more than EjectMax ago.
func (p *Picker) resetEjections(s *server, at int64) {
	if at-s.restoredAt.Load() > int64(p.cfg.EjectMax) {
		s.ejections.Store(0)
	}
}

// extendEjection keeps a server ejected whose trial failed.
func (p *Picker) extendEjection(s *server, at int64) {
	s.ejectedUntil.Store(at + int64(p.nextEjectTime(s)))
	s.trialSince.Store(0)
}

// nextEjectTime returns the duration of the server's next ejection and doubles the one
// after it.
func (p *Picker) nextEjectTime(s *server) time.Duration {
	return backoff.Doubled(p.cfg.EjectBase, p.cfg.EjectMax, int(s.ejections.Add(1)-1))
}

// maxEjected returns the largest number of members that may be ejected at one time.
func (g *group) maxEjected() int { return int(g.service.MaxEjected * float64(g.size)) }

// ejectedCount returns the number of ejected members.
func (g *group) ejectedCount() int {
	n := 0
	for t := range g.tiers {
		for i := range g.tiers[t] {
			if g.tiers[t][i].server.ejected() {
				n++
			}
		}
	}
	return n
}

// enforceFloor ends ejections in excess of maxEjected, which a group has after it shrank.
// p.mu is held.
func (p *Picker) enforceFloor(g *group) {
	surplus := g.ejectedCount() - g.maxEjected()
	for t := range g.tiers {
		for i := range g.tiers[t] {
			s := g.tiers[t][i].server
			if surplus > 0 && s.ejected() {
				s.ejectedUntil.Store(0)
				surplus--
			}
		}
	}
}

// incrementUpTo increments a counter that is below the limit. Of two concurrent calls, one
// may have no effect.
func incrementUpTo(a *atomic.Int32, limit int32) {
	if n := a.Load(); n < limit {
		a.CompareAndSwap(n, n+1)
	}
}
