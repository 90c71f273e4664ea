package distribute

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// fetching is the state of the one fetch that may be under way.
type fetching struct {
	active    bool
	source    model.NodeID
	deadline  time.Time
	nextStart time.Time // no fetch starts before: bursts are merged
	nextProbe time.Time // when to ask a neighbour though none told of the head
}

// fetchTimer starts a fetch when a neighbour holds a newer version, and moves
// on from a source that doesn't answer.
func (c *Core) fetchTimer(now time.Time) {
	if c.fetch.active && now.Before(c.fetch.deadline) {
		return
	}
	if c.fetch.active {
		c.fetchTimedOut(now)
	}
	if now.Before(c.fetch.nextStart) {
		return
	}
	if p := c.bestSource(now); p != nil {
		c.startFetch(now, p)
		return
	}
	c.probe(now)
}

func (c *Core) fetchTimedOut(now time.Time) {
	c.fetch.active = false
	if p := c.peers[c.fetch.source]; p != nil {
		p.skipUntil = now.Add(c.cfg.FullTimeout + c.jitter(c.cfg.FullTimeout))
	}
	c.fetch.nextStart = now.Add(c.jitter(c.cfg.FetchTimeout / 4))
}

// bestSource returns the neighbour to fetch from: the one with the newest
// version, of those one in the own zone, of those any.
func (c *Core) bestSource(now time.Time) *peer {
	var best []*peer
	for _, id := range c.order {
		p := c.peers[id]
		if !p.held.Newer(c.held.Ref()) || now.Before(p.skipUntil) || c.isRefused(id, p.held.Version) {
			continue
		}
		if len(best) > 0 {
			d := c.compareSources(p, best[0])
			if d < 0 {
				continue
			}
			if d > 0 {
				best = best[:0]
			}
		}
		best = append(best, p)
	}
	if len(best) == 0 {
		return nil
	}
	return best[c.rng.IntN(len(best))]
}

func (c *Core) compareSources(a, b *peer) int {
	switch {
	case a.held.Newer(b.held):
		return 1
	case b.held.Newer(a.held):
		return -1
	case c.sameZone(a) == c.sameZone(b):
		return 0
	case c.sameZone(a):
		return 1
	default:
		return -1
	}
}

// probe asks a neighbour for a version that is known to exist though none has
// told of holding it: adverts may have been lost.
func (c *Core) probe(now time.Time) {
	if !c.head.Newer(c.held.Ref()) || now.Before(c.fetch.nextProbe) {
		return
	}
	c.fetch.nextProbe = now.Add(c.around(c.cfg.ProbeInterval))
	var ids []model.NodeID
	for _, id := range c.order {
		if !c.isRefused(id, c.head.Version) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	c.startFetch(now, c.peers[ids[c.rng.IntN(len(ids))]])
}

func (c *Core) startFetch(now time.Time, p *peer) {
	timeout := c.cfg.FetchTimeout
	if c.held.Version() == 0 {
		timeout = c.cfg.FullTimeout
	}
	c.fetch.active = true
	c.fetch.source = p.id()
	c.fetch.deadline = now.Add(timeout)
	c.fetch.nextStart = now.Add(c.cfg.MergeInterval)
	p.asked = true
	c.send(p.id(), message.Urgent, &message.Fetch{Have: c.held.Ref(), Recent: c.history.versions()})
}

// fetchDone ends the fetch from a source, if it is the one under way.
func (c *Core) fetchDone(p *peer) {
	p.asked = false
	if c.fetch.active && c.fetch.source == p.id() {
		c.fetch.active = false
	}
}
