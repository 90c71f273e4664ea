package admit

import "time"

// acquireSlots takes a slot of the class's concurrency and one of the
// organisation's: of the class's reserve, or else of the shared concurrency.
// reserved reports whether the slot belongs to the reserve. Without a free slot
// ok is false and nothing is taken.
func (l *Limiter) acquireSlots(org *organisation, k *class, now time.Time) (reserved, ok bool) {
	floor := *l.floor.Load()
	if !l.acquireClassSlot(k, floor, now) {
		return false, false
	}
	fraction := org.limit.concurrencyFraction(org.contract.Concurrency, floor)
	if add(&k.limit.reserved, int64(fraction*float64(k.class.Reserve))) {
		org.limit.inFlight.Add(1)
		return true, true
	}
	sharedMax := l.sharedSlots(org, fraction, now)
	if !add(&org.limit.shared, sharedMax) {
		k.limit.inFlight.Add(-1)
		return false, false
	}
	if l.overWeightedShare(org, k, sharedMax) {
		org.limit.shared.Add(-1)
		k.limit.inFlight.Add(-1)
		return false, false
	}
	org.limit.inFlight.Add(1)
	return false, true
}

// acquireClassSlot counts the request in flight of its class and reports whether
// the class's own concurrency limit, if it has one, allows that.
func (l *Limiter) acquireClassSlot(k *class, floor float64, now time.Time) bool {
	if k.class.Concurrency <= 0 {
		k.limit.inFlight.Add(1)
		return true
	}
	concurrency := k.limit.concurrencyFraction(k.class.Concurrency, floor) * float64(k.class.Concurrency)
	return add(&k.limit.inFlight, k.limit.slots(&l.cfg, concurrency, l.seed, now))
}

// sharedSlots returns how many slots the node has of the organisation's shared
// concurrency, which is what the classes' reserves leave.
func (l *Limiter) sharedSlots(org *organisation, fraction float64, now time.Time) int64 {
	free := max(0, org.contract.Concurrency-org.reserve)
	if free == 0 {
		return 0
	}
	return org.limit.slots(&l.cfg, fraction*float64(free), l.seed, now)
}

// overWeightedShare reports whether the class exceeds its weighted fair share of
// the shared concurrency, while the usage of that concurrency is above
// ClassFairnessThreshold. Below it any class may use all of the shared
// concurrency. The request itself is already counted.
func (l *Limiter) overWeightedShare(org *organisation, k *class, sharedMax int64) bool {
	if float64(org.limit.shared.Load()) <= l.cfg.ClassFairnessThreshold*float64(sharedMax) {
		return false
	}
	activeWeight := org.limit.activeWeight.Load()
	if activeWeight <= int64(k.class.Weight) {
		return false // no other class is active
	}
	shared := k.limit.inFlight.Load() - k.limit.reserved.Load()
	fairShare := float64(sharedMax) * float64(k.class.Weight) / float64(activeWeight)
	return float64(shared) > max(fairShare, 1)
}
