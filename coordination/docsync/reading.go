package docsync

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/backoff"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// backoff returns the delay after a failed read: exponential from RetryMin to RetryMax, with a
// jitter of ±50 %. A member other than the leaders waits at least SlowRankDelay times the number of
// live members, before jitter.
func (c *Core) backoff() time.Duration {
	wait := backoff.Doubled(c.cfg.RetryMin, c.cfg.RetryMax, c.failures-1)
	if c.rank >= c.cfg.Leaders {
		wait = max(wait, time.Duration(c.liveMembers)*c.cfg.SlowRankDelay)
	}
	return wait/2 + time.Duration(c.rng.Int64N(int64(wait)))
}

// decideReading emits SetReading if the decision whether to read has changed.
func (c *Core) decideReading() {
	on := c.shouldRead()
	once := on && !c.leading
	if on == c.reading && once == c.singleRead {
		return
	}
	c.reading, c.singleRead = on, once
	c.emit(SetReading{On: on, Once: once})
}

// Schedule returns the schedule of this node's reads, with the given interval. The first leaders of
// all zones come before the second ones.
func (c *Core) Schedule(interval time.Duration) ReadSchedule {
	leaders := max(1, c.cfg.Leaders)
	return ReadSchedule{Interval: interval, Slot: c.rank%leaders*c.cfg.Zones + c.cfg.ZoneIndex, Slots: leaders * c.cfg.Zones}
}

// shouldRead reports whether this node reads the store now, for its zone or only for itself, and updates
// leading.
func (c *Core) shouldRead() bool {
	age := c.now.Sub(c.started)
	if age < c.cfg.ReadDelay || c.backingOff() {
		return false
	}
	c.leading = c.shouldLead()
	starting := !c.hasRead && c.held == 0 && !c.readerActive() && age < c.cfg.ReadDelay+c.cfg.StartWait
	return c.leading || starting || c.behind() >= c.cfg.OwnReadAfter
}

// backingOff reports whether the node waits after a failed read. One that lacks a version which others
// hold waits for RetryMin only: the store serves others.
func (c *Core) backingOff() bool {
	end := c.retryAt
	if soonest := c.failedAt.Add(c.cfg.RetryMin); c.behind() >= c.cfg.OwnReadAfter && soonest.Before(end) {
		end = soonest
	}
	return c.now.Before(end)
}

// readerActive reports whether a beacon of a reader of the zone was received within BeaconTimeout.
// Peers' documents are then as new as the store's.
func (c *Core) readerActive() bool {
	for _, b := range c.beacons {
		if c.now.Sub(b.receivedAt) < c.cfg.BeaconTimeout {
			return true
		}
	}
	return false
}

// shouldLead reports whether this node reads the store for its zone.
func (c *Core) shouldLead() bool {
	if c.rank < c.cfg.Leaders {
		return true
	}
	if c.leading {
		return !c.precedingReaderActive()
	}
	return c.now.Sub(c.currentAt) >= c.cfg.BeaconTimeout+c.takeoverDelay()
}

// takeoverDelay returns how much longer than the first member this one waits before it takes over. A
// node that has lost its links doesn't wait: the others may get beacons.
func (c *Core) takeoverDelay() time.Duration {
	if c.linksLost() {
		return 0
	}
	quick := min(c.rank, c.cfg.QuickRanks)
	return time.Duration(quick)*c.cfg.RankDelay + time.Duration(c.rank-quick)*c.cfg.SlowRankDelay
}

// linksLost reports whether this node has lost links to its zone since it was last current, and none
// has lasted since then.
func (c *Core) linksLost() bool {
	for _, p := range c.peers {
		if p.sameZone && !p.upAt.After(c.currentAt) {
			return false
		}
	}
	return c.linkLostAt.After(c.currentAt)
}

// precedingReaderActive reports whether a beacon of a reader that precedes this node in the order
// of keys was received within BeaconTimeout, and this node is current by it. That reader goes on, and
// this node stops.
func (c *Core) precedingReaderActive() bool {
	for id, b := range c.beacons {
		if c.now.Sub(b.receivedAt) < c.cfg.BeaconTimeout && c.isCurrentBy(b) && compareNodes(id, c.self.Node) < 0 {
			return true
		}
	}
	return false
}

// isCurrentBy reports whether this node holds or has rejected the version that a beacon names.
func (c *Core) isCurrentBy(b beacon) bool { return b.version <= max(c.held, c.rejected) }

// updateCurrent updates currentAt.
func (c *Core) updateCurrent() {
	for _, b := range c.beacons {
		if c.isCurrentBy(b) && b.receivedAt.After(c.currentAt) {
			c.currentAt = b.receivedAt
		}
	}
}

// compareNodes orders nodes as Members.Live does: by key, then by name.
func compareNodes(a, b model.NodeID) int {
	return cmp.Or(cmp.Compare(a.Key(), b.Key()), cmp.Compare(a, b))
}

// sendBeacon announces to the zone, at most once per BeaconInterval, that this node's reads of the
// store succeed.
func (c *Core) sendBeacon() {
	if !c.reading || !c.hasRead || c.failures > 0 || c.now.Before(c.nextBeaconAt) {
		return
	}
	c.nextBeaconAt = c.now.Add(c.cfg.BeaconInterval)
	c.sequence++
	c.relay("", &message.ReaderBeacon{Reader: c.self.Node, Incarnation: c.self.Incarnation, Sequence: c.sequence, Epoch: c.epoch, Version: c.held})
}

// handleBeacon records a reader's beacon and relays it, unless it has already received this beacon
// or a newer one of that reader.
func (c *Core) handleBeacon(from model.NodeID, m *message.ReaderBeacon) {
	p := c.peers[from]
	if p == nil || !p.sameZone || m.Reader == c.self.Node {
		return
	}
	old := c.beacons[m.Reader]
	older := cmp.Or(cmp.Compare(m.Incarnation, old.incarnation), cmp.Compare(m.Sequence, old.sequence)) <= 0
	if older {
		return
	}
	c.beacons[m.Reader] = beacon{incarnation: m.Incarnation, sequence: m.Sequence, epoch: m.Epoch, version: m.Version, receivedAt: c.now}
	c.learn(m.Version)
	if d := c.pending; d != nil {
		c.apply(d.Version, d.Body, c.pendingFrom)
	}
	c.resetBackoff()
	c.relay(from, m)
}

// resetBackoff ends the backoff of a member that is neither reading nor a leader when it receives a
// beacon: the store serves another member, and this one may have to take over. Otherwise the next
// two leaders of a zone of 60 could wait for up to 27 s after an outage.
func (c *Core) resetBackoff() {
	if c.reading || c.rank < c.cfg.Leaders {
		return // a leader whose own reads fail keeps its backoff
	}
	c.failures = 0
	c.retryAt = time.Time{}
}

// setRank sets the node's rank among the live members and their number. The backoff of a node that
// becomes a leader is cut to at most RetryMax, the bound for leaders, since the backoff of other
// members grows with their number.
func (c *Core) setRank(rank, live int) {
	leads := rank < c.cfg.Leaders && c.rank >= c.cfg.Leaders
	c.rank, c.liveMembers = rank, live
	if latest := c.now.Add(c.cfg.RetryMax); leads && latest.Before(c.retryAt) {
		c.retryAt = latest
	}
}

// relay sends a beacon to the peers of the same zone, except for its reader and the peer that sent
// it.
func (c *Core) relay(from model.NodeID, m *message.ReaderBeacon) {
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		if c.peers[id].sameZone && id != from && id != m.Reader {
			c.send(id, m)
		}
	}
}
