package admit

import "time"

// enter counts a request into the class's and the organisation's concurrency. It
// reports whether the request is on the class's reserve, and whether it may
// enter at all.
func (l *Limiter) enter(c *organisation, k *class, now time.Time) (reserved, ok bool) {
	floor := *l.floor.Load()
	if !l.enterClass(k, floor, now) {
		return false, false
	}
	part := c.limit.part(c.contract.Concurrency, floor)
	if add(&k.limit.reserved, int64(part*float64(k.class.Reserve))) {
		c.limit.inFlight.Add(1)
		return true, true
	}
	most := l.sharedSlots(c, part, now)
	if !add(&c.limit.shared, most) {
		k.limit.inFlight.Add(-1)
		return false, false
	}
	if l.overWeight(c, k, most) {
		c.limit.shared.Add(-1)
		k.limit.inFlight.Add(-1)
		return false, false
	}
	c.limit.inFlight.Add(1)
	return false, true
}

func (l *Limiter) enterClass(k *class, floor float64, now time.Time) bool {
	if k.class.Concurrency <= 0 {
		k.limit.inFlight.Add(1)
		return true
	}
	x := k.limit.part(k.class.Concurrency, floor) * float64(k.class.Concurrency)
	return add(&k.limit.inFlight, k.limit.slots(&l.cfg, x, l.seed, now))
}

// sharedSlots returns the node's part of the concurrency that is no class's
// reserve.
func (l *Limiter) sharedSlots(c *organisation, part float64, now time.Time) int64 {
	free := max(0, c.contract.Concurrency-c.reserve)
	if free == 0 {
		return 0
	}
	return c.limit.slots(&l.cfg, part*float64(free), l.seed, now)
}

// overWeight reports whether the class already has more than its weighted part
// of a shared concurrency that is nearly used up. While there is room every
// class may use it all.
func (l *Limiter) overWeight(c *organisation, k *class, most int64) bool {
	if float64(c.limit.shared.Load()) <= l.cfg.ClassPressure*float64(most) {
		return false
	}
	weights := c.limit.weights.Load()
	if weights <= int64(k.class.Weight) {
		return false // no other class is active
	}
	own := k.limit.inFlight.Load() - k.limit.reserved.Load()
	fair := float64(most) * float64(k.class.Weight) / float64(weights)
	return float64(own) > max(fair, 1)
}
