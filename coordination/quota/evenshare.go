package quota

import "time"

// TakeEvenShare takes a token from the node's even share of the quota, for use while it reaches no
// owner. If there is none, it returns false and the delay after which the caller should retry. nodes
// is the number of nodes in the fleet, and draw a random number in [0, 1).
func (l *Lease) TakeEvenShare(now time.Time, cfg Config, nodes int, draw float64) (retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, n := *l.rate.Load(), float64(max(1, nodes))
	if now.Sub(l.evenShare.startedAt) > cfg.Window {
		l.evenShare = evenShare{level: evenShareFraction * cfg.allowance(rate) / n, updated: now, startedAt: now}
	}
	if l.ownerReached.After(l.evenShare.updated) {
		l.evenShare.updated = now // the owner issued the whole quota in the meantime
	}
	return l.evenShare.take(now, reducedRateFraction*rate.PerSecond/n, max(1, float64(rate.Burst)/n), draw)
}

// evenShare is a node's even share of a quota.
type evenShare struct {
	level     float64
	updated   time.Time
	startedAt time.Time // when level was last set to a positive initial value
}

// take takes a token. If the level is a fraction of a token, it admits with that probability and
// consumes the fraction in either case, so that many small even shares together admit their sum.
func (s *evenShare) take(now time.Time, perSecond, burst, draw float64) (time.Duration, bool) {
	s.level = min(burst, s.level+perSecond*now.Sub(s.updated).Seconds())
	s.updated = now
	if s.level >= 1 {
		s.level--
		return 0, true
	}
	chance := s.level
	s.level = 0
	if draw < chance {
		return 0, true
	}
	return time.Duration(min(float64(time.Second)/perSecond, float64(evenShareMaxRetryAfter))), false
}

// evenShareMaxRetryAfter limits the Retry-After delay of a request that an even share refuses: the
// node will have found an owner by then.
const evenShareMaxRetryAfter = time.Second
