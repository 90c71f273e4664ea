package distribute

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// fetchState is the state of fetching from neighbours. At most one fetch runs
// at a time.
type fetchState struct {
	active      bool
	source      model.NodeID
	deadline    time.Time
	nextFetchAt time.Time // earliest start of the next fetch, so that bursts are merged
	nextProbeAt time.Time // when to fetch the head from a neighbour that has not advertised it
}

// fetchTimer starts a fetch when a neighbour holds a newer version, and gives
// up on a source that does not answer in time.
func (c *Core) fetchTimer(now time.Time) {
	if c.fetch.active && now.Before(c.fetch.deadline) {
		return
	}
	if c.fetch.active {
		c.fetchTimedOut(now)
	}
	if now.Before(c.fetch.nextFetchAt) {
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
	c.fetch.nextFetchAt = now.Add(c.jitter(c.cfg.FetchTimeout / 4))
}

// bestSource returns the neighbour to fetch from, or nil: a random one of those
// with the newest version, if possible one in the same zone.
func (c *Core) bestSource(now time.Time) *peer {
	var best []*peer
	for _, id := range c.peerIDs {
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

// compareSources returns 1 if a is the better source to fetch from, -1 if b is,
// and 0 if they are equally good.
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

// probe fetches a version that is known to exist from a neighbour that has not
// advertised it, because adverts may have been lost.
func (c *Core) probe(now time.Time) {
	if !c.head.Newer(c.held.Ref()) || now.Before(c.fetch.nextProbeAt) {
		return
	}
	c.fetch.nextProbeAt = now.Add(c.jittered(c.cfg.ProbeInterval))
	var ids []model.NodeID
	for _, id := range c.peerIDs {
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
	c.fetch.nextFetchAt = now.Add(c.cfg.MergeInterval)
	p.fetchPending = true
	c.send(p.id(), message.Urgent, &message.Fetch{Have: c.held.Ref(), Recent: c.history.versions()})
}

// fetchDone ends the fetch from a peer if it is the active one.
func (c *Core) fetchDone(p *peer) {
	p.fetchPending = false
	if c.fetch.active && c.fetch.source == p.id() {
		c.fetch.active = false
	}
}
