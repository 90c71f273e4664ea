package docsync

import (
	"cmp"
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
// core.PeerDown, core.Received, Members, StoreRead and Rejected. It is not safe
// for concurrent use.
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

	peers map[model.NodeID]*peerState
	fetch fetch

	rank     int
	live     int // members of the own zone that are alive
	reading  bool
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

// beacon orders the beacons of one reader.
type beacon struct {
	incarnation, sequence uint64
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
		c.started, c.quiet = now, now
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
		c.peers[ev.Record.Node] = &peerState{near: ev.Record.Zone == c.self.Zone}
		c.send(ev.Record.Node, &message.DocumentAdvert{Version: c.held})
	case core.PeerDown:
		delete(c.peers, ev.Node)
	case core.Received:
		c.received(ev.From, ev.Message)
	case Members:
		c.rank = max(0, slices.Index(ev.Live, c.self.Node))
		c.live = len(ev.Live)
	case StoreRead:
		c.storeRead(ev)
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

// document takes a peer's document. A node that has just started holds it back
// until the store has answered: the peer may be cut off from newer ones.
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
	if !c.read && !c.cfg.Fresh && c.held == 0 && c.now.Sub(c.started) < c.cfg.StartWait {
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
	c.read = true
	c.failures = 0
	if ev.Version > c.held && ev.Version > c.bad {
		c.take(ev.Version, ev.Body, "")
	}
	if w := c.waiting; w != nil {
		c.take(w.Version, w.Body, c.from)
	}
	c.sendBeacon()
}

// backoff returns the wait after a failed read, spread by half.
func (c *Core) backoff() time.Duration {
	wait := c.cfg.RetryMax
	if c.failures < maxDoublings {
		wait = min(wait, c.cfg.RetryMin<<(c.failures-1))
	}
	if c.rank >= c.cfg.Leaders {
		wait = max(wait, time.Duration(c.live)*c.cfg.TurnDelay)
	}
	return wait/2 + time.Duration(c.rng.Int64N(int64(wait)))
}

// maxDoublings keeps the doubled wait within the range of time.Duration.
const maxDoublings = 16

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

// decideReading turns reading on and off.
func (c *Core) decideReading() {
	on := c.shouldRead()
	if on == c.reading {
		return
	}
	c.reading = on
	c.act(SetReading{On: on})
}

func (c *Core) shouldRead() bool {
	age := c.now.Sub(c.started)
	if age < c.cfg.ReadDelay || c.now.Before(c.retryAt) {
		return false
	}
	c.leading = c.shouldLead()
	starting := !c.read && c.held == 0 && age < c.cfg.ReadDelay+c.cfg.StartWait
	return c.leading || starting
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
	c.relay("", &message.ReaderBeacon{Reader: c.self.Node, Incarnation: c.self.Incarnation, Sequence: c.sequence})
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
	c.heard[m.Reader] = beacon{incarnation: m.Incarnation, sequence: m.Sequence, at: c.now}
	c.relay(from, m)
}

// relay sends a beacon to the peers of the own zone but the one it came from.
func (c *Core) relay(from model.NodeID, m *message.ReaderBeacon) {
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		if c.peers[id].near && id != from && id != m.Reader {
			c.send(id, m)
		}
	}
}

func (c *Core) act(a core.Action) { c.out = append(c.out, a) }

func (c *Core) send(to model.NodeID, m message.Message) {
	c.act(core.Send{To: to, Priority: message.Urgent, Message: m})
}
