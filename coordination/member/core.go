package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Core is the membership state machine of one node. It handles core.Tick, core.PeerUp,
// core.PeerDown, core.DialFailed, core.Received, Announce, Leave, SeedsLearned and
// Incarnate. It is not safe for concurrent use.
type Core struct {
	cfg       Config
	rng       *rand.Rand
	now       time.Time
	lastEvent time.Time // time of the previous event
	actions   []core.Action
	stats     Stats

	self            endpoint.Record
	left            bool
	reportedVersion version // version of the own record in the last reported identity conflict
	table           *endpoint.Table

	links    []*link // sorted by node
	flood    flood
	sync     antiEntropy
	detector detector
	dialer   dialer
	joining  joining
	overlay  overlay
}

// version identifies a version of one node's record; a higher incarnation, then a higher
// sequence, is newer.
type version struct{ incarnation, sequence uint64 }

// New returns the core of the node that self describes. Seeds are peer addresses, IP:port,
// of other members; the node's own may be among them. The same random seed and events give
// the same decisions.
func New(cfg Config, self endpoint.Record, seeds []string, seed uint64) *Core {
	c := &Core{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(seed, uint64(self.Node.Key()))),
		self:  self,
		table: endpoint.NewTable(),
	}
	c.flood.pending = make(map[model.NodeID]*change)
	c.sync.zones = make(map[model.Zone]*zoneSync)
	c.sync.budget = float64(cfg.ResponseBurstBytes)
	c.detector.suspicions = make(map[model.NodeID]suspicion)
	c.detector.trustedUntil = make(map[model.NodeID]time.Time)
	c.dialer.targets = make(map[model.NodeID]*target)
	c.dialer.tokens = cfg.ConnectBurst
	c.overlay.wanted = make(map[model.NodeID]bool)
	c.overlay.gateways = make(map[model.Zone][]candidate)
	c.overlay.dirty = map[model.Zone]bool{self.Zone: true}
	c.table.Put(self)
	c.setSeeds(seeds, nil)
	return c
}

// Step handles one event and returns the resulting actions.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	c.actions = nil
	c.now = now
	c.detectPause()
	c.handle(ev)
	c.flushDue()
	if c.table.Changed() {
		c.emit(TableChanged{})
	}
	return c.actions
}

func (c *Core) handle(ev core.Event) {
	switch ev := ev.(type) {
	case core.Tick:
		c.tick()
	case core.PeerUp:
		c.peerUp(ev)
	case core.PeerDown:
		c.peerDown(ev.Node)
	case core.DialFailed:
		c.dialFailed(ev)
	case core.Received:
		c.received(ev)
	case Announce:
		c.announce(ev)
	case Leave:
		c.leave()
	case SeedsLearned:
		c.setSeeds(ev.Addrs, ev.OtherZoneAddrs)
	case Incarnate:
		c.incarnate(ev.Incarnation)
	}
}

// tick runs the periodic work.
func (c *Core) tick() {
	c.refreshOverlay()
	c.closeSilentLinks()
	c.confirmSuspicions()
	c.sendHeartbeats()
	c.compareDigests()
	c.closeUnwanted()
	c.dialWanted()
	c.dialForDiscovery()
	c.expireState()
}

func (c *Core) received(ev core.Received) {
	l := c.link(ev.From)
	if l != nil {
		l.lastReceived = c.now
		c.detector.isolatedSuspicions = 0
	}
	switch m := ev.Message.(type) {
	case *message.Records:
		c.handleRecords(ev.From, m.Records)
	case *message.Digest:
		c.handleDigest(ev.From, m.Zones)
	case *message.RecordsRequest:
		c.respond(ev.From, m)
	}
}

func (c *Core) emit(a core.Action) { c.actions = append(c.actions, a) }

func (c *Core) send(l *link, p message.Priority, m message.Message) {
	l.lastSent = c.now
	c.emit(core.Send{To: l.node, Priority: p, Message: m})
}

// Table returns the endpoint table. Only the goroutine that owns the core may read it.
func (c *Core) Table() *endpoint.Table { return c.table }

// Self returns the node's own record.
func (c *Core) Self() endpoint.Record { return c.self }

// Live returns the live members of the own zone in order of node key, including this node.
// It must not be modified.
func (c *Core) Live() []model.NodeID { return c.overlay.live }

// Gateway reports whether this node is a gateway of its zone.
func (c *Core) Gateway() bool { return c.overlay.gateway }

// Digest returns the table's hash for each zone, as sent in Hello and Welcome.
func (c *Core) Digest() []message.ZoneDigest {
	hashes := c.table.Digest()
	d := make([]message.ZoneDigest, len(hashes))
	for i, h := range hashes {
		d[i] = message.ZoneDigest{Zone: h.Zone, Hash: h.Hash}
	}
	return d
}

// IncarnationOf returns the incarnation in the table's record of a node, or 0 if there is
// none.
func (c *Core) IncarnationOf(id model.NodeID) uint64 {
	r, _ := c.table.Get(id)
	return r.Incarnation
}

// Neighbours returns the connected peers, sorted by node.
func (c *Core) Neighbours() []model.NodeID {
	ids := make([]model.NodeID, 0, len(c.links))
	for _, l := range c.links {
		if !l.closing {
			ids = append(ids, l.node)
		}
	}
	return slices.Clip(ids)
}

// FlushDue returns when the queued records are due to be sent, or zero if none are queued.
// The driver may send a Tick at that time instead of waiting for the next regular one.
func (c *Core) FlushDue() time.Time { return c.flood.due }

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }
