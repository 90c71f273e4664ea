package distribute

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Core is the decision core of one node.
type Core struct {
	cfg  Config
	self endpoint.Record
	rng  *rand.Rand

	started time.Time
	out     []core.Action

	held  *snapshot.Snapshot
	head  snapshot.Ref // newest version known to exist
	ready bool
	live  map[model.NodeID]bool // live members of the zone with this node; nil: not known

	peers   map[model.NodeID]*peer
	order   []model.NodeID // keys of peers, sorted
	history history
	refused map[refusal]time.Time // until when not to fetch
	last    *message.Rejection    // newest refusal of this node
	memory  memory

	fetch   fetching
	serve   serving
	reader  reader
	beacons beacons
	acks    ackRelay
	zones   map[model.Zone]ZoneReport
	zone    zoneStatus
	borders borders
	join    joining

	nextAdvert  time.Time
	advertIndex int
}

// New returns the core of a node that holds nothing and is not ready. self is
// the node's own record; only Node, Zone and Incarnation are used. seed makes
// its random choices repeatable.
func New(cfg Config, self endpoint.Record, seed uint64) *Core {
	return &Core{
		cfg:     cfg,
		self:    self,
		rng:     rand.New(rand.NewPCG(seed, uint64(self.Node.Key()))),
		held:    snapshot.Empty(),
		peers:   make(map[model.NodeID]*peer),
		refused: make(map[refusal]time.Time),
		memory:  newMemory(cfg),
		beacons: newBeacons(),
		acks:    newAckRelay(),
		zones:   make(map[model.Zone]ZoneReport),
		zone:    newZoneStatus(),
		borders: make(borders),
		join:    newJoining(),
	}
}

// Held returns the version held: snapshot.Empty's before the first. Requests
// may be served with it only while Ready.
func (c *Core) Held() *snapshot.Snapshot { return c.held }

// Ready reports whether requests may be served with the version held.
func (c *Core) Ready() bool { return c.ready }

// LastHeldOf returns the newest version that a node is known to have held, in
// any of its incarnations; 0 when it is not known. It fills in the LastHeld of
// a Welcome or Hello.
func (c *Core) LastHeldOf(id model.NodeID) uint64 { return c.memory.version(id.Key()) }

// Step takes one event and returns what the driver must do, in order. It takes
// core.Tick, core.PeerUp, core.PeerDown, core.Received and the events of this
// package; it ignores others.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	if c.started.IsZero() {
		c.started = now
		c.nextAdvert = now.Add(c.jitter(c.cfg.AdvertRefresh))
	}
	switch e := ev.(type) {
	case core.PeerUp:
		c.peerUp(now, e)
	case core.PeerDown:
		c.peerDown(now, e.Node)
	case core.Received:
		c.received(now, e)
	case HeadRead:
		c.headRead(now, e)
	case Loaded:
		c.loaded(now, e)
	case Members:
		c.members(now, e)
	case LeaseChanged:
		c.leaseChanged(now, e)
	}
	c.timers(now)
	out := c.out
	c.out = nil
	return out
}

func (c *Core) received(now time.Time, e core.Received) {
	p := c.peers[e.From]
	if p == nil {
		return
	}
	switch m := e.Message.(type) {
	case *message.Beacon:
		c.beaconReceived(now, p, m)
	case *message.Advert:
		c.advertReceived(now, p, m)
	case *message.Fetch:
		c.fetchReceived(now, p, m)
	case *message.Delta:
		c.deltaReceived(now, p, m)
	case *message.Full:
		c.fullReceived(now, p, m)
	case *message.Acks:
		c.acksReceived(now, p, m)
	case *message.Rejections:
		c.rejectionsReceived(now, p, m)
	case *message.ZoneStatus:
		c.zoneStatusReceived(now, p, m)
	}
}

// timers does all that is due. It runs after every event.
func (c *Core) timers(now time.Time) {
	c.expire(now)
	c.pollTimer(now)
	c.loadTimer(now)
	c.joinTimer(now)
	c.fetchTimer(now)
	c.serveTimer(now)
	c.beaconTimer(now)
	c.ackTimer(now)
	c.statusTimer(now)
	c.borderTimer(now)
	c.advertTimer(now)
}

// expire drops what is too old to matter.
func (c *Core) expire(now time.Time) {
	for r, until := range c.refused {
		if !now.Before(until) {
			delete(c.refused, r)
		}
	}
	c.history.expire(now, c.cfg.RecentFor)
	c.memory.expire(now, c.peers)
}

func (c *Core) members(now time.Time, e Members) {
	c.live = make(map[model.NodeID]bool, len(e.Live)+1)
	c.live[c.self.Node] = true
	for _, id := range e.Live {
		c.live[id] = true
	}
	c.zone.forget(c.live)
	c.zone.changed(now)
}

func (c *Core) emit(a core.Action) { c.out = append(c.out, a) }

func (c *Core) send(to model.NodeID, p message.Priority, m message.Message) {
	c.emit(core.Send{To: to, Priority: p, Message: m})
}

// jitter returns a random duration below d.
func (c *Core) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.rng.Int64N(int64(d)))
}

// around returns d within a tenth of it.
func (c *Core) around(d time.Duration) time.Duration {
	return d - d/10 + c.jitter(d/5)
}

// backoff returns first doubled failures times, at most limit, with jitter.
func (c *Core) backoff(first, limit time.Duration, failures int) time.Duration {
	d := first
	for i := 0; i < failures && d < limit; i++ {
		d *= 2
	}
	return c.around(min(d, limit))
}
