package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
)

// Tick updates the sums of the weights of the active organisations and classes,
// those with a request in flight, from which the fair shares follow. Call it
// about every 100 ms.
func (l *Limiter) Tick() {
	var total int64
	for _, org := range *l.organisations.Load() {
		if org.limit.inFlight.Load() <= 0 {
			continue
		}
		total += int64(org.contract.Weight)
		var classes int64
		for _, k := range org.classes {
			if k.limit.inFlight.Load() > 0 {
				classes += int64(k.class.Weight)
			}
		}
		org.limit.activeWeight.Store(classes)
	}
	l.activeWeight.Store(total)
}

// Demand returns the offered load of each limit since the last call, by rate and
// by concurrency, sorted by the limit's name; limits that are not in use are left
// out. Refused requests count too: the offered concurrency is the offered rate
// times the mean time that a request is in flight (Little's law), but at least the
// number of requests in flight. The first call only sets the starting point and
// returns nothing.
func (l *Limiter) Demand(now time.Time) []message.DemandItem {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.lastDemand).Seconds()
	first := l.lastDemand.IsZero()
	l.lastDemand = now
	var items []message.DemandItem
	for _, org := range *l.organisations.Load() {
		items = org.limit.demand(items, elapsed, first)
		for _, k := range org.classes {
			if k.hasOwnLimit() {
				items = k.limit.demand(items, elapsed, first)
			}
		}
	}
	slices.SortFunc(items, func(a, b message.DemandItem) int { return cmp.Compare(a.Limit, b.Limit) })
	return items
}

// demand appends the limit's demand since the last sample, if the limit was in
// use, and takes a new sample. The caller holds Limiter.mu.
func (m *limit) demand(items []message.DemandItem, elapsed float64, first bool) []message.DemandItem {
	previous := m.lastSample
	offered, released, heldNanos := m.offered.Load(), m.released.Load(), m.heldNanos.Load()
	m.lastSample = demandSample{offered: offered, released: released, heldNanos: heldNanos, meanHoldSeconds: previous.meanHoldSeconds}
	if n := released - previous.released; n > 0 {
		m.lastSample.meanHoldSeconds = float64(heldNanos-previous.heldNanos) / float64(n) / float64(time.Second)
	}
	inFlight := float64(m.inFlight.Load())
	if first || elapsed <= 0 || offered == previous.offered && inFlight == 0 {
		return items
	}
	perSecond := float64(offered-previous.offered) / elapsed
	return append(items, message.DemandItem{
		Limit:     m.name,
		PerSecond: perSecond,
		InFlight:  max(inFlight, perSecond*m.lastSample.meanHoldSeconds),
	})
}

// SetFloor sets the floor: the fraction of each limit, 0 to 1, that the node may
// use without a grant.
func (l *Limiter) SetFloor(fraction float64) { l.floor.Store(&fraction) }

// SetShare sets the node's grant of the named limit. A name that is not in the
// current contracts is ignored.
func (l *Limiter) SetShare(name string, s Share) {
	if m := l.findLimit(name); m != nil {
		m.share.Store(&s)
	}
}

// ClearShare removes the node's grant of the named limit, which leaves the floor.
func (l *Limiter) ClearShare(name string) {
	if m := l.findLimit(name); m != nil {
		m.share.Store(nil)
	}
}

// findLimit returns the named limit; nil when the current contracts have none of
// that name.
func (l *Limiter) findLimit(name string) *limit {
	organisations := *l.organisations.Load()
	orgName, className, isClass := splitLimitName(name)
	org := organisations[orgName]
	if org == nil {
		return nil
	}
	if !isClass {
		return org.limit
	}
	if k := org.classes[className]; k != nil {
		return k.limit
	}
	return nil
}
