package docsync

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// peerState is the state of a connected peer.
type peerState struct {
	sameZone     bool      // the peer is in this node's availability zone
	upAt         time.Time // when it connected
	version      uint64    // newest version that the peer is known to hold
	newerSince   time.Time // when the peer was first seen with a newer document; zero if it has none
	advertised   uint64    // version last advertised to the peer, at advertisedAt
	advertisedAt time.Time
	failedAt     time.Time // when a request to the peer last went unanswered; zero once it is heard
}

// fetch is the outstanding request for a document.
type fetch struct {
	source   model.NodeID // empty for none
	deadline time.Time    // when another peer may be tried
}

// advertise tells a peer the held version.
func (c *Core) advertise(id model.NodeID, p *peerState) {
	p.advertised, p.advertisedAt = c.held, c.now
	c.send(id, &message.DocumentAdvert{Version: c.held})
}

// repeatAdverts advertises the held version again to peers that have not been heard to hold it.
func (c *Core) repeatAdverts() {
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		if p := c.peers[id]; p.version < c.held && c.now.Sub(p.advertisedAt) >= c.cfg.AdvertRepeat {
			c.advertise(id, p)
		}
	}
}

// handleAdvert records the version that a peer holds and fetches it if it is newer. A peer that
// advertises the held version may not know that this node holds it, and is told.
func (c *Core) handleAdvert(from model.NodeID, version uint64) {
	p := c.peers[from]
	if p == nil {
		return
	}
	p.version, p.failedAt = version, time.Time{}
	c.learn(version)
	if version == c.held && p.advertised < c.held {
		c.advertise(from, p)
	}
	c.fetchNewer()
}

// fetchNewer requests a newer document from the best peer, unless a request is outstanding.
func (c *Core) fetchNewer() {
	if c.fetch.source != "" && c.now.Before(c.fetch.deadline) {
		return
	}
	if p := c.peers[c.fetch.source]; p != nil {
		p.failedAt = c.now
	}
	c.fetch = fetch{}
	best := c.bestSource()
	if best == "" {
		return
	}
	c.fetch = fetch{source: best, deadline: c.now.Add(c.cfg.FetchTimeout)}
	c.send(best, &message.DocumentFetch{Have: c.newestKnown()})
}

// newestKnown returns the newest version that this node holds, has rejected or keeps pending. Only
// a higher version is worth a fetch.
func (c *Core) newestKnown() uint64 {
	v := max(c.held, c.rejected)
	if c.pending != nil {
		v = max(v, c.pending.Version)
	}
	return v
}

// bestSource returns the peer to fetch a newer document from; empty for none. It uses a peer of
// another zone only after CrossZoneFetchDelay.
func (c *Core) bestSource() model.NodeID {
	known := c.newestKnown()
	var best model.NodeID
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[id]
		if p.version <= known {
			p.newerSince = time.Time{}
			continue
		}
		if p.newerSince.IsZero() {
			p.newerSince = c.now
		}
		if !p.sameZone && c.now.Sub(p.newerSince) < c.cfg.CrossZoneFetchDelay {
			continue
		}
		if best == "" || p.betterSource(c.peers[best]) {
			best = id
		}
	}
	return best
}

// betterSource reports whether p is a better source than other: a peer that has not failed to answer
// before one that has, then one of the own zone, then the one that failed earlier. Each peer is so
// asked once before any is asked again.
func (p *peerState) betterSource(other *peerState) bool {
	switch {
	case p.failedAt.IsZero() != other.failedAt.IsZero():
		return p.failedAt.IsZero()
	case p.failedAt.IsZero():
		return p.sameZone && !other.sameZone
	default:
		return p.failedAt.Before(other.failedAt)
	}
}
