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

// Core is the state machine of one node. It takes core.Tick, core.PeerUp,
// core.PeerDown, core.Received, Members, StoreRead, FirstInZone and Rejected. It
// is not safe for concurrent use.
type Core struct {
	cfg  Config
	rng  *rand.Rand
	self endpoint.Record
	now  time.Time
	out  []core.Action

	started time.Time
	held    uint64
	body    []byte
	bad     uint64 // newest version that could not be used
	// waiting is a peer's document that is held back at the start.
	waiting *message.Document
	from    model.NodeID
	// read says that the store has answered since the start.
	read bool
	// life is the store's life that has answered last.
	life uint64

	peers map[model.NodeID]*peerState
	fetch fetch

	rank     int
	live     int // members of the own zone that are alive
	reading  bool
	once     bool // the driver was asked for one read only
	leading  bool // reads for the zone, not only for its own start
	failures int
	retryAt  time.Time
	sequence uint64
	beaconAt time.Time // when the next own beacon is due
	// heard holds the newest beacon of each reader.
	heard map[model.NodeID]beacon
	quiet time.Time // since when no reader was heard
}

// peerState is what is known of a connected peer.
type peerState struct {
	near    bool // in the own availability zone
	version uint64
	ahead   time.Time // since when it holds a newer document; zero while not
}

// fetch is the request for a document that is under way.
type fetch struct {
	from  model.NodeID // empty for none
	until time.Time
}

// beacon is the newest beacon of one reader.
type beacon struct {
	incarnation, sequence uint64
	life                  uint64
	at                    time.Time
}

// New returns the core of the node that self describes.
func New(cfg Config, self endpoint.Record, seed uint64) *Core {
	return &Core{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(seed, uint64(self.Node.Key()))),
		self:  self,
		peers: make(map[model.NodeID]*peerState),
		heard: make(map[model.NodeID]beacon),
	}
}

// Held returns the version in force; 0 for none.
func (c *Core) Held() uint64 { return c.held }

// Reading reports whether this node reads the store.
func (c *Core) Reading() bool { return c.reading }

// Step takes one event and returns the actions it leads to.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	c.out = nil
	c.now = now
	if c.started.IsZero() {
		c.started, c.quiet = now, now.Add(c.cfg.ReadDelay) // no beacon is expected before ReadDelay is over
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
		delete(c.peers, ev.Node)
	case core.Received:
		c.received(ev.From, ev.Message)
	case Members:
		c.setRank(max(0, slices.Index(ev.Live, c.self.Node)), len(ev.Live))
	case StoreRead:
		c.storeRead(ev)
	case FirstInZone:
		c.cfg.ReadDelay = min(c.cfg.ReadDelay, c.now.Sub(c.started))
		c.quiet = c.now
	case Rejected:
		c.bad = max(c.bad, ev.Version)
	}
}

func (c *Core) received(from model.NodeID, m message.Message) {
	switch m := m.(type) {
	case *message.DocumentAdvert:
		c.advert(from, m.Version)
	case *message.DocumentFetch:
		if m.Have < c.held {
			c.send(from, &message.Document{Version: c.held, Body: c.body})
		}
	case *message.Document:
		c.document(from, m)
	case *message.ReaderBeacon:
		c.takeBeacon(from, m)
	}
}

// peerUp sends a new peer the held version, and a peer of the own zone also the recent beacons
// of readers, so that a node that has just started needs no read of its own.
func (c *Core) peerUp(r endpoint.Record) {
	p := &peerState{near: r.Zone == c.self.Zone}
	c.peers[r.Node] = p
	if p.near {
		for _, id := range slices.Sorted(maps.Keys(c.heard)) {
			if b := c.heard[id]; c.now.Sub(b.at) < c.cfg.BeaconInterval && id != r.Node {
				c.send(r.Node, &message.ReaderBeacon{Reader: id, Incarnation: b.incarnation, Sequence: b.sequence, Life: b.life})
			}
		}
	}
	c.send(r.Node, &message.DocumentAdvert{Version: c.held})
}

func (c *Core) tick() {
	if c.waiting != nil && c.now.Sub(c.started) >= c.cfg.StartWait {
		c.take(c.waiting.Version, c.waiting.Body, c.from)
	}
	c.fetchNewer()
	c.sendBeacon()
}

// advert notes what a peer holds and fetches it where it is newer.
func (c *Core) advert(from model.NodeID, version uint64) {
	p := c.peers[from]
	if p == nil {
		return
	}
	p.version = version
	c.fetchNewer()
}

// fetchNewer asks the best peer for a newer document unless one is under way.
func (c *Core) fetchNewer() {
	if c.fetch.from != "" && c.now.Before(c.fetch.until) {
		return
	}
	last := c.fetch.from
	c.fetch = fetch{}
	best := c.bestSource(last)
	if best == "" {
		return
	}
	c.fetch = fetch{from: best, until: c.now.Add(c.cfg.FetchTimeout)}
	c.send(best, &message.DocumentFetch{Have: c.wanted()})
}

// wanted returns the version that a newer document must exceed.
func (c *Core) wanted() uint64 {
	w := max(c.held, c.bad)
	if c.waiting != nil {
		w = max(w, c.waiting.Version)
	}
	return w
}

// bestSource returns the peer to fetch from: one of the own zone at once, one
// of another zone after FarFetchDelay, and not the one that has just failed.
func (c *Core) bestSource(failed model.NodeID) model.NodeID {
	want := c.wanted()
	var best model.NodeID
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[id]
		if p.version <= want {
			p.ahead = time.Time{}
			continue
		}
		if p.ahead.IsZero() {
			p.ahead = c.now
		}
		if !p.near && c.now.Sub(p.ahead) < c.cfg.FarFetchDelay {
			continue
		}
		if best == "" || best == failed || p.near && !c.peers[best].near {
			best = id
		}
	}
	return best
}

// document takes a peer's document. A node that has just started holds it back until the
// store has answered this node or a reader of the zone: the peer may be cut off from newer
// ones.
func (c *Core) document(from model.NodeID, d *message.Document) {
	if c.fetch.from == from {
		c.fetch = fetch{}
	}
	if p := c.peers[from]; p != nil {
		p.version = max(p.version, d.Version)
	}
	if d.Version <= c.wanted() {
		return
	}
	if !c.read && !c.cfg.Fresh && c.held == 0 && !c.readerHeard() && c.now.Sub(c.started) < c.cfg.StartWait {
		c.waiting, c.from = d, from
		return
	}
	c.take(d.Version, d.Body, from)
}

func (c *Core) storeRead(ev StoreRead) {
	if ev.Err != nil {
		c.failures++
		c.retryAt = c.now.Add(c.backoff())
		return
	}
	c.read, c.life = true, ev.Life
	c.failures = 0
	if ev.Version > c.held && ev.Version > c.bad {
		c.take(ev.Version, ev.Body, "")
	}
	if w := c.waiting; w != nil {
		c.take(w.Version, w.Body, c.from)
	}
	c.sendBeacon()
}

// take puts a document in force and tells the peers.
func (c *Core) take(version uint64, body []byte, from model.NodeID) {
	c.waiting = nil
	if version <= c.held {
		return
	}
	c.held, c.body = version, body
	c.act(Apply{Version: version, Body: body, From: from})
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		c.peers[id].ahead = time.Time{} // the own zone is not stuck
		if c.peers[id].version < version {
			c.send(id, &message.DocumentAdvert{Version: version})
		}
	}
}

func (c *Core) act(a core.Action) { c.out = append(c.out, a) }

func (c *Core) send(to model.NodeID, m message.Message) {
	c.act(core.Send{To: to, Priority: message.Urgent, Message: m})
}
