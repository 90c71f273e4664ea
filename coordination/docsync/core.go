package docsync

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Core is the state machine of one node: it decides when the node reads the
// store, from which peer it fetches a document and which documents it applies.
// It handles core.Tick, core.PeerUp, core.PeerDown, core.Received, Members,
// StoreRead, FirstInZone and Rejected. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	rng  *rand.Rand
	self endpoint.Record
	now  time.Time
	out  []core.Action

	started time.Time
	// held and body are the version and the content of the last Apply.
	held     uint64
	body     []byte
	rejected uint64 // newest version that could not be used
	// pending is a document that pendingFrom sent and that a recently started
	// node does not apply yet; nil for none.
	pending     *message.Document
	pendingFrom model.NodeID
	// hasRead is set once a read of the store has succeeded.
	hasRead bool
	// epoch is the store's epoch in the last successful read.
	epoch uint64

	// newest is the newest version known, behindSince when the first one newer than held was learned
	// of, and reportedLate the last version in a Late.
	newest       uint64
	behindSince  time.Time
	reportedLate uint64

	peers map[model.NodeID]*peerState
	fetch fetch

	rank         int       // index of this node among the live members of its zone
	liveMembers  int       // number of live members of the zone
	reading      bool      // the last SetReading turned reading on
	singleRead   bool      // the last SetReading was for one read only
	leading      bool      // this node reads for the zone, not only for its own start
	failures     int       // failed reads in a row
	retryAt      time.Time // no read before this time
	sequence     uint64
	nextBeaconAt time.Time // when this node sends its next beacon
	// beacons holds the newest beacon of each reader.
	beacons     map[model.NodeID]beacon
	silentSince time.Time // start of the silence until the first beacon is received
}

// peerState is the state of a connected peer.
type peerState struct {
	sameZone     bool      // the peer is in this node's availability zone
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

// beacon is the newest beacon received from one reader.
type beacon struct {
	incarnation, sequence uint64
	epoch                 uint64
	receivedAt            time.Time
}

// New returns the core of the node that self describes.
func New(cfg Config, self endpoint.Record, seed uint64) *Core {
	return &Core{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(seed, uint64(self.Node.Key()))),
		self:    self,
		peers:   make(map[model.NodeID]*peerState),
		beacons: make(map[model.NodeID]beacon),
	}
}

// Held returns the version of the last Apply; 0 before the first.
func (c *Core) Held() uint64 { return c.held }

// Newest returns the newest version that this node knows of, held or not.
func (c *Core) Newest() uint64 { return c.newest }

// Reading reports whether this node reads the store.
func (c *Core) Reading() bool { return c.reading }

// Step handles one event and returns the resulting actions.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	c.out = nil
	c.now = now
	if c.started.IsZero() {
		c.started, c.silentSince = now, now.Add(c.cfg.ReadDelay) // no beacon is due before ReadDelay is over
	}
	c.handle(ev)
	c.decideReading()
	return c.out
}

func (c *Core) handle(ev core.Event) {
	switch ev := ev.(type) {
	case core.Tick:
		c.tick()
	case core.PeerUp:
		c.peerUp(ev.Record)
	case core.PeerDown:
		c.peerDown(ev.Node)
	case core.Received:
		c.received(ev.From, ev.Message)
	case Members:
		c.setRank(max(0, slices.Index(ev.Live, c.self.Node)), len(ev.Live))
	case StoreRead:
		c.handleStoreRead(ev)
	case FirstInZone:
		c.cfg.ReadDelay = min(c.cfg.ReadDelay, c.now.Sub(c.started))
		c.silentSince = c.now
	case Rejected:
		c.rejected = max(c.rejected, ev.Version)
	}
}

func (c *Core) received(from model.NodeID, m message.Message) {
	switch m := m.(type) {
	case *message.DocumentAdvert:
		c.handleAdvert(from, m.Version)
	case *message.DocumentFetch:
		if m.Have < c.held {
			c.send(from, &message.Document{Version: c.held, Body: c.body})
		}
	case *message.Document:
		c.handleDocument(from, m)
	case *message.ReaderBeacon:
		c.handleBeacon(from, m)
	}
}

// peerUp advertises the held version to a new peer. A peer of the same zone also gets the recent
// beacons of readers, so that a recently started node needs no read of its own.
func (c *Core) peerUp(r endpoint.Record) {
	p := &peerState{sameZone: r.Zone == c.self.Zone}
	c.peers[r.Node] = p
	if p.sameZone {
		for _, id := range slices.Sorted(maps.Keys(c.beacons)) {
			if b := c.beacons[id]; c.now.Sub(b.receivedAt) < c.cfg.BeaconInterval && id != r.Node {
				c.send(r.Node, &message.ReaderBeacon{Reader: id, Incarnation: b.incarnation, Sequence: b.sequence, Epoch: b.epoch})
			}
		}
	}
	c.advertise(r.Node, p)
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

// peerDown forgets a peer. A document that was requested from it is requested from another one.
func (c *Core) peerDown(id model.NodeID) {
	delete(c.peers, id)
	if c.fetch.source == id {
		c.fetch = fetch{}
		c.fetchNewer()
	}
}

func (c *Core) tick() {
	if c.pending != nil && c.now.Sub(c.started) >= c.cfg.StartWait {
		c.apply(c.pending.Version, c.pending.Body, c.pendingFrom)
	}
	c.fetchNewer()
	c.repeatAdverts()
	c.sendBeacon()
	c.reportLate()
}

// learn notes that a version exists.
func (c *Core) learn(version uint64) {
	if version > max(c.newest, c.rejected) {
		if c.newest <= c.held {
			c.behindSince = c.now
		}
		c.newest = version
	}
}

// reportLate emits Late for the newest version if it has not been applied for LateAfter.
func (c *Core) reportLate() {
	if c.newest <= max(c.held, c.reportedLate, c.rejected) || c.now.Sub(c.behindSince) < c.cfg.LateAfter {
		return
	}
	c.reportedLate = c.newest
	c.emit(Late{Version: c.newest, Held: c.held, Source: c.fetch.source})
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

// handleDocument handles a peer's document. A recently started node keeps it pending until a read
// of the store has succeeded at this node or at a reader of the zone, or StartWait is over: the peer
// may be cut off from newer documents.
func (c *Core) handleDocument(from model.NodeID, d *message.Document) {
	if c.fetch.source == from {
		c.fetch = fetch{}
	}
	if p := c.peers[from]; p != nil {
		p.version, p.failedAt = max(p.version, d.Version), time.Time{}
	}
	if d.Version <= c.newestKnown() {
		return
	}
	if !c.hasRead && !c.cfg.FirstStart && c.held == 0 && !c.readerActive() && c.now.Sub(c.started) < c.cfg.StartWait {
		c.pending, c.pendingFrom = d, from
		return
	}
	c.apply(d.Version, d.Body, from)
}

// handleStoreRead handles the end of a read: it schedules a retry after a failure, and applies the
// newest document after a success.
func (c *Core) handleStoreRead(ev StoreRead) {
	if ev.Err != nil {
		c.failures++
		c.retryAt = c.now.Add(c.backoff())
		if ev.Unanswered && c.failures == 1 {
			// Perhaps only the connection has failed. A new one is tried at once.
			c.retryAt = time.Time{}
			c.reading = false
		}
		return
	}
	c.hasRead, c.epoch = true, ev.Epoch
	c.failures = 0
	if ev.Version > c.held && ev.Version > c.rejected {
		c.apply(ev.Version, ev.Body, "")
	}
	if d := c.pending; d != nil {
		c.apply(d.Version, d.Body, c.pendingFrom)
	}
	c.sendBeacon()
}

// apply emits Apply if the document is newer than the held one, and advertises it to the peers that
// don't hold it.
func (c *Core) apply(version uint64, body []byte, from model.NodeID) {
	c.pending = nil
	if version <= c.held {
		return
	}
	c.learn(version)
	behind := c.now.Sub(c.behindSince)
	c.held, c.body = version, body
	c.emit(Apply{Version: version, Body: body, From: from, BehindFor: behind})
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[id]
		p.newerSince = time.Time{} // CrossZoneFetchDelay starts anew: this zone still gets documents
		if p.version < version {
			c.advertise(id, p)
		}
	}
}

func (c *Core) emit(a core.Action) { c.out = append(c.out, a) }

func (c *Core) send(to model.NodeID, m message.Message) {
	c.emit(core.Send{To: to, Priority: message.Urgent, Message: m})
}
