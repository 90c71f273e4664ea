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

// backoff returns the wait after a failed read, spread by half.
func (c *Core) backoff() time.Duration {
	wait := backoff.Doubled(c.cfg.RetryMin, c.cfg.RetryMax, c.failures-1)
	if c.rank >= c.cfg.Leaders {
		wait = max(wait, time.Duration(c.live)*c.cfg.TurnDelay)
	}
	return wait/2 + time.Duration(c.rng.Int64N(int64(wait)))
}

// decideReading turns reading on and off.
func (c *Core) decideReading() {
	on := c.shouldRead()
	once := on && !c.leading
	if on == c.reading && once == c.once {
		return
	}
	c.reading, c.once = on, once
	c.act(SetReading{On: on, Once: once})
}

func (c *Core) shouldRead() bool {
	age := c.now.Sub(c.started)
	if age < c.cfg.ReadDelay || c.now.Before(c.retryAt) {
		return false
	}
	c.leading = c.shouldLead()
	starting := !c.read && c.held == 0 && !c.readerHeard() && age < c.cfg.ReadDelay+c.cfg.StartWait
	return c.leading || starting
}

// readerHeard reports whether a reader of the zone was heard lately. Peers' documents are then
// as new as the store's answer would be.
func (c *Core) readerHeard() bool {
	for _, b := range c.heard {
		if c.now.Sub(b.at) < c.cfg.SilenceAfter {
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
		return !c.betterReader()
	}
	return c.now.Sub(c.lastHeard()) >= c.cfg.SilenceAfter+c.turn()
}

// turn returns how much later than the first member this one takes over.
func (c *Core) turn() time.Duration {
	quick := min(c.rank, c.cfg.QuickRanks)
	return time.Duration(quick)*c.cfg.RankDelay + time.Duration(c.rank-quick)*c.cfg.TurnDelay
}

// betterReader reports whether a reader with precedence was heard lately. The
// one with precedence goes on, and this one stops.
func (c *Core) betterReader() bool {
	for id, b := range c.heard {
		if c.now.Sub(b.at) < c.cfg.SilenceAfter && compareNodes(id, c.self.Node) < 0 {
			return true
		}
	}
	return false
}

// lastHeard returns when a reader was last heard.
func (c *Core) lastHeard() time.Time {
	last := c.quiet
	for _, b := range c.heard {
		if b.at.After(last) {
			last = b.at
		}
	}
	return last
}

// compareNodes orders nodes as the zone's list of members does.
func compareNodes(a, b model.NodeID) int {
	return cmp.Or(cmp.Compare(a.Key(), b.Key()), cmp.Compare(a, b))
}

// sendBeacon tells the zone that this node reads the store with success.
func (c *Core) sendBeacon() {
	if !c.reading || !c.read || c.failures > 0 || c.now.Before(c.beaconAt) {
		return
	}
	c.beaconAt = c.now.Add(c.cfg.BeaconInterval)
	c.sequence++
	c.relay("", &message.ReaderBeacon{Reader: c.self.Node, Incarnation: c.self.Incarnation, Sequence: c.sequence, Life: c.life})
}

// takeBeacon notes a reader's beacon and relays it once.
func (c *Core) takeBeacon(from model.NodeID, m *message.ReaderBeacon) {
	p := c.peers[from]
	if p == nil || !p.near || m.Reader == c.self.Node {
		return
	}
	old := c.heard[m.Reader]
	older := cmp.Or(cmp.Compare(m.Incarnation, old.incarnation), cmp.Compare(m.Sequence, old.sequence)) <= 0
	if older {
		return
	}
	c.heard[m.Reader] = beacon{incarnation: m.Incarnation, sequence: m.Sequence, life: m.Life, at: c.now}
	if w := c.waiting; w != nil {
		c.take(w.Version, w.Body, c.from)
	}
	c.storeIsBack()
	c.relay(from, m)
}

// storeIsBack ends the wait for the next turn of a member that doesn't read: the
// store answers another one, and this one may have to take over. Without it the
// next two leaders of a zone of 60 waited for up to 27 s after an outage.
func (c *Core) storeIsBack() {
	if c.reading || c.rank < c.cfg.Leaders {
		return // a leader that the store doesn't answer keeps its own wait
	}
	c.failures = 0
	c.retryAt = time.Time{}
}

// setRank takes the node's place among the live members. One that becomes a leader
// waits as leaders do, not for a round of all.
func (c *Core) setRank(rank, live int) {
	leads := rank < c.cfg.Leaders && c.rank >= c.cfg.Leaders
	c.rank, c.live = rank, live
	if latest := c.now.Add(c.cfg.RetryMax); leads && latest.Before(c.retryAt) {
		c.retryAt = latest
	}
}

// relay sends a beacon to the peers of the own zone but the one it came from.
func (c *Core) relay(from model.NodeID, m *message.ReaderBeacon) {
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		if c.peers[id].near && id != from && id != m.Reader {
			c.send(id, m)
		}
	}
}
