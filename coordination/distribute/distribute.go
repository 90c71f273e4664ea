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
	actions []core.Action

	held        *snapshot.Snapshot
	head        snapshot.Ref // newest version that this node has learned of
	ready       bool
	liveMembers map[model.NodeID]bool // live members of this node's zone, itself included; nil before the first Members

	peers         map[model.NodeID]*peer
	peerIDs       []model.NodeID // keys of peers, sorted
	history       history
	refusedUntil  map[sourceVersion]time.Time // when a rejected version may be fetched again
	lastRejection *message.Rejection          // this node's newest rejection, or nil
	heldVersions  heldVersions

	fetch           fetchState
	serve           serveState
	reader          readerState
	beacons         beaconState
	acks            ackRelay
	zones           map[model.Zone]ZoneReport
	zone            zoneStatus
	crossZoneRelays crossZoneRelays
	join            joinState

	nextAdvertAt time.Time
	advertIndex  int
}

// New returns the core of a node that holds no version and is not ready. self
// is the node's own record, of which only Node, Zone and Incarnation are used.
// The same seed repeats the same random choices.
func New(cfg Config, self endpoint.Record, seed uint64) *Core {
	return &Core{
		cfg:             cfg,
		self:            self,
		rng:             rand.New(rand.NewPCG(seed, uint64(self.Node.Key()))),
		held:            snapshot.Empty(),
		peers:           make(map[model.NodeID]*peer),
		refusedUntil:    make(map[sourceVersion]time.Time),
		heldVersions:    newHeldVersions(cfg),
		beacons:         newBeaconState(),
		acks:            newAckRelay(),
		zones:           make(map[model.Zone]ZoneReport),
		zone:            newZoneStatus(),
		crossZoneRelays: make(crossZoneRelays),
		join:            newJoinState(),
	}
}

// Held returns the version held, or snapshot.Empty() before the first one.
// Requests may be served with it only while Ready returns true.
func (c *Core) Held() *snapshot.Snapshot { return c.held }

// Ready reports whether requests may be served with the version held.
func (c *Core) Ready() bool { return c.ready }

// LastHeldOf returns the newest version that a node is recorded to have held in
// any of its incarnations, or 0 without a record. It is the value of LastHeld
// in a Welcome or Hello to that node.
func (c *Core) LastHeldOf(id model.NodeID) uint64 { return c.heldVersions.version(id.Key()) }

// Step handles one event and returns the actions that the driver must carry
// out, in order. It handles core.Tick, core.PeerUp, core.PeerDown,
// core.Received and the events of this package, and ignores all others.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	if c.started.IsZero() {
		c.started = now
		c.nextAdvertAt = now.Add(c.jitter(c.cfg.AdvertRefresh))
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
	c.runTimers(now)
	out := c.actions
	c.actions = nil
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

// runTimers runs every timed task that is due. It is called after every event.
func (c *Core) runTimers(now time.Time) {
	c.expire(now)
	c.pollTimer(now)
	c.loadTimer(now)
	c.joinTimer(now)
	c.fetchTimer(now)
	c.serveTimer(now)
	c.beaconTimer(now)
	c.ackTimer(now)
	c.statusTimer(now)
	c.crossZoneTimer(now)
	c.advertTimer(now)
}

// expire drops expired rejections, snapshots and records of other nodes.
func (c *Core) expire(now time.Time) {
	for r, until := range c.refusedUntil {
		if !now.Before(until) {
			delete(c.refusedUntil, r)
		}
	}
	c.history.expire(now, c.cfg.KeepSnapshotsFor)
	c.heldVersions.expire(now, c.peers)
}

func (c *Core) members(now time.Time, e Members) {
	c.liveMembers = make(map[model.NodeID]bool, len(e.Live)+1)
	c.liveMembers[c.self.Node] = true
	for _, id := range e.Live {
		c.liveMembers[id] = true
	}
	c.zone.dropFormerMembers(c.liveMembers)
	c.zone.markChanged(now)
}

func (c *Core) emit(a core.Action) { c.actions = append(c.actions, a) }

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

// jittered returns d changed at random by at most a tenth in either direction.
func (c *Core) jittered(d time.Duration) time.Duration {
	return d - d/10 + c.jitter(d/5)
}

// backoff returns the delay after a number of failures: first, doubled for each
// of them up to limit, with jitter.
func (c *Core) backoff(first, limit time.Duration, failures int) time.Duration {
	d := first
	for i := 0; i < failures && d < limit; i++ {
		d *= 2
	}
	return c.jittered(min(d, limit))
}
