package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
)

// Tick brings the weights of the active organisations and classes up to date.
// Call it about every 100 ms.
func (l *Limiter) Tick() {
	var sum int64
	for _, c := range *l.organisations.Load() {
		if c.limit.inFlight.Load() <= 0 {
			continue
		}
		sum += int64(c.contract.Weight)
		var classes int64
		for _, k := range c.classes {
			if k.limit.inFlight.Load() > 0 {
				classes += int64(k.class.Weight)
			}
		}
		c.limit.weights.Store(classes)
	}
	l.weights.Store(sum)
}

// Demand returns what callers offered to each limit since the last call, for
// limits in use only, in order of name. Offered concurrency is the offered
// rate times the time that a request takes (Little's law), so that refused
// requests count too.
func (l *Limiter) Demand(now time.Time) []message.DemandItem {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.lastRead).Seconds()
	first := l.lastRead.IsZero()
	l.lastRead = now
	var items []message.DemandItem
	for _, c := range *l.organisations.Load() {
		items = c.limit.demand(items, elapsed, first)
		for _, k := range c.classes {
			if k.limited() {
				items = k.limit.demand(items, elapsed, first)
			}
		}
	}
	slices.SortFunc(items, func(a, b message.DemandItem) int { return cmp.Compare(a.Limit, b.Limit) })
	return items
}

// demand appends the limit's demand if it is in use. l.mu is held.
func (m *limit) demand(items []message.DemandItem, elapsed float64, first bool) []message.DemandItem {
	was := m.last
	offered, released, held := m.offered.Load(), m.released.Load(), m.held.Load()
	m.last = measured{offered: offered, released: released, held: held, hold: was.hold}
	if n := released - was.released; n > 0 {
		m.last.hold = float64(held-was.held) / float64(n) / float64(time.Second)
	}
	inFlight := float64(m.inFlight.Load())
	if first || elapsed <= 0 || offered == was.offered && inFlight == 0 {
		return items
	}
	perSecond := float64(offered-was.offered) / elapsed
	return append(items, message.DemandItem{
		Limit:     m.name,
		PerSecond: perSecond,
		InFlight:  max(inFlight, perSecond*m.last.hold),
	})
}

// SetFloor sets the part of each limit, 0 to 1, that the node has without a
// grant.
func (l *Limiter) SetFloor(part float64) { l.floor.Store(&part) }

// SetShare sets what is granted to the node of a limit. It is ignored for a limit that
// the node does not hold.
func (l *Limiter) SetShare(name string, s Share) {
	if m := l.find(name); m != nil {
		m.share.Store(&s)
	}
}

// ClearShare returns a limit to the floor.
func (l *Limiter) ClearShare(name string) {
	if m := l.find(name); m != nil {
		m.share.Store(nil)
	}
}

func (l *Limiter) find(name string) *limit {
	organisations := *l.organisations.Load()
	organisationName, className, isClass := cutLimit(name)
	c := organisations[organisationName]
	if c == nil {
		return nil
	}
	if !isClass {
		return c.limit
	}
	if k := c.classes[className]; k != nil {
		return k.limit
	}
	return nil
}
