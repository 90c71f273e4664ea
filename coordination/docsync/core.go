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
	newestAt     time.Time // when newest was learned of
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
	failedAt     time.Time // when a read last failed
	retryAt      time.Time // no read before this time, see backingOff
	sequence     uint64
	nextBeaconAt time.Time // when this node sends its next beacon
	// beacons holds the newest beacon of each reader.
	beacons map[model.NodeID]beacon
	// currentAt is when this node last was known to be current: the last beacon was received whose
	// version it held or rejected. Before the first one it is when the node began to wait for it.
	currentAt time.Time
	// linkLostAt is when the connection to a peer of the same zone was last lost.
	linkLostAt time.Time
}

// beacon is the newest beacon received from one reader.
type beacon struct {
	incarnation, sequence uint64
	epoch, version        uint64
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
		c.started, c.currentAt = now, now.Add(c.cfg.ReadDelay) // no beacon is due before ReadDelay is over
	}
	c.handle(ev)
	c.updateCurrent()
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
		c.currentAt = c.now
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
	p := &peerState{sameZone: r.Zone == c.self.Zone, upAt: c.now}
	c.peers[r.Node] = p
	if p.sameZone {
		for _, id := range slices.Sorted(maps.Keys(c.beacons)) {
			if b := c.beacons[id]; c.now.Sub(b.receivedAt) < c.cfg.BeaconInterval && id != r.Node {
				c.send(r.Node, &message.ReaderBeacon{Reader: id, Incarnation: b.incarnation, Sequence: b.sequence, Epoch: b.epoch, Version: b.version})
			}
		}
	}
	c.advertise(r.Node, p)
}

// peerDown forgets a peer. A document that was requested from it is requested from another one.
func (c *Core) peerDown(id model.NodeID) {
	if p := c.peers[id]; p != nil && p.sameZone {
		c.linkLostAt = c.now
	}
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
		c.failedAt = c.now
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
	c.behindSince = c.newestAt // of no consequence unless a newer version is known
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
