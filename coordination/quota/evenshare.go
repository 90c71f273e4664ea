package quota

import "time"

// TakeEvenShare takes a token from the node's even share of the quota, for while no owner is reached.
func (l *Lease) TakeEvenShare(now time.Time, cfg Config, nodes int, lot float64) (after time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, n := *l.rate.Load(), float64(max(1, nodes))
	if now.Sub(l.evenShare.began) > cfg.Window {
		l.evenShare = evenShare{level: evenSharePart * cfg.allowance(rate) / n, at: now, began: now}
	}
	if l.reached.After(l.evenShare.at) {
		l.evenShare.at = now // the owner gave out the whole meanwhile
	}
	return l.evenShare.take(now, reducedPart*rate.PerSecond/n, max(1, float64(rate.Burst)/n), lot)
}

// evenShare is a node's even share of a quota.
type evenShare struct {
	level float64
	at    time.Time
	began time.Time // when it last began with more than nothing
}

// take takes a token. A part of one admits by chance and is gone in either case, so that
// many small even shares admit their sum.
func (s *evenShare) take(now time.Time, perSecond, burst, lot float64) (time.Duration, bool) {
	s.level = min(burst, s.level+perSecond*now.Sub(s.at).Seconds())
	s.at = now
	if s.level >= 1 {
		s.level--
		return 0, true
	}
	chance := s.level
	s.level = 0
	if lot < chance {
		return 0, true
	}
	return time.Duration(min(float64(time.Second)/perSecond, float64(evenShareAfterMax))), false
}

// evenShareAfterMax bounds when a caller comes back that an even share has refused: an owner is
// found by then.
const evenShareAfterMax = time.Second
