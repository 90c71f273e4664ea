package balance

import (
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/backoff"
)

// ejectRetry is how long a server that could not be ejected, because the floor
// was reached, is left alone.
const ejectRetry = 100 * time.Millisecond

// eject takes a server out of the choice unless too many of its group are out.
// It is off the usual path, so it may take the writers' lock.
func (p *Picker) eject(g *group, s *server, at int64) {
	if s.ejected() || at < s.ejectAgain.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.ejected() {
		return
	}
	if g.ejected()+1 > g.mayEject() {
		s.ejectAgain.Store(at + int64(ejectRetry))
		return
	}
	p.forgive(s, at)
	s.ejectedUntil.Store(at + int64(p.ejectTime(s)))
}

// forgive resets the doublings of a server that was not out for EjectMax.
func (p *Picker) forgive(s *server, at int64) {
	if at-s.restoredAt.Load() > int64(p.cfg.EjectMax) {
		s.ejections.Store(0)
	}
}

// ejectFurther ejects a server again whose trial failed.
func (p *Picker) ejectFurther(s *server, at int64) {
	s.ejectedUntil.Store(at + int64(p.ejectTime(s)))
	s.trialSince.Store(0)
}

// ejectTime returns the time of the next ejection and doubles it.
func (p *Picker) ejectTime(s *server) time.Duration {
	return backoff.Doubled(p.cfg.EjectBase, p.cfg.EjectMax, int(s.ejections.Add(1)-1))
}

// mayEject returns the largest number of members that may be out at one time.
func (g *group) mayEject() int { return int(g.service.MaxEjected * float64(g.size)) }

func (g *group) ejected() int {
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

// keepFloor lets ejected servers back in after a group shrank. p.mu is held.
func (p *Picker) keepFloor(g *group) {
	surplus := g.ejected() - g.mayEject()
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

func countUpTo(a *atomic.Int32, limit int32) {
	if n := a.Load(); n < limit {
		a.CompareAndSwap(n, n+1)
	}
}
