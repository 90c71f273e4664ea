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

// Core is the membership state machine of one node. It takes core.Tick,
// core.PeerUp, core.PeerDown, core.DialFailed, core.Received, Announce, Leave,
// SeedsLearned and Incarnate. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	rng   *rand.Rand
	now   time.Time
	last  time.Time // time of the last event
	out   []core.Action
	stats Stats

	self    endpoint.Record
	left    bool
	claimed version // newest foreign version of the own record reported
	table   *endpoint.Table

	links    []*link // in order of node
	flood    flood
	sync     antiEntropy
	detector detector
	dialer   dialer
	joining  joining
	overlay  overlay
}

// version orders the records of one node.
type version struct{ incarnation, sequence uint64 }

// New returns the core of the node that self describes. Seeds are control
// addresses of other members; the node's own may be among them. Equal seeds of
// randomness give equal decisions.
func New(cfg Config, self endpoint.Record, seeds []string, seed uint64) *Core {
	c := &Core{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(seed, uint64(self.Node.Key()))),
		self:  self,
		table: endpoint.NewTable(),
	}
	c.flood.pending = make(map[model.NodeID]*change)
	c.sync.zones = make(map[model.Zone]*zoneSync)
	c.sync.budget = float64(cfg.AnswerBurstBytes)
	c.detector.suspicions = make(map[model.NodeID]suspicion)
	c.detector.refuted = make(map[model.NodeID]time.Time)
	c.dialer.targets = make(map[model.NodeID]*target)
	c.dialer.tokens = cfg.ConnectBurst
	c.overlay.wanted = make(map[model.NodeID]bool)
	c.overlay.gateways = make(map[model.Zone][]candidate)
	c.overlay.dirty = map[model.Zone]bool{self.Zone: true}
	c.table.Put(self)
	c.setSeeds(seeds, nil)
	return c
}

// Step takes one event and returns the actions it leads to.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	c.out = nil
	c.now = now
	c.noticePause()
	c.handle(ev)
	c.flushDue()
	if c.table.Changed() {
		c.act(TableChanged{})
	}
	return c.out
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
		c.setSeeds(ev.Addrs, ev.Far)
	case Incarnate:
		c.incarnate(ev.Incarnation)
	}
}

// tick does what is due by time.
func (c *Core) tick() {
	c.refreshOverlay()
	c.watchLinks()
	c.confirmSuspicions()
	c.sendHeartbeats()
	c.compareDigests()
	c.closeUnwanted()
	c.dialWanted()
	c.dialOthers()
	c.sweepOld()
}

func (c *Core) received(ev core.Received) {
	l := c.link(ev.From)
	if l != nil {
		l.heard = c.now
		c.detector.alone = 0
	}
	switch m := ev.Message.(type) {
	case *message.Records:
		c.takeRecords(ev.From, m.Records)
	case *message.Digest:
		c.takeDigest(ev.From, m.Zones)
	case *message.RecordsRequest:
		c.answer(ev.From, m)
	}
}

func (c *Core) act(a core.Action) { c.out = append(c.out, a) }

func (c *Core) send(l *link, p message.Priority, m message.Message) {
	l.sent = c.now
	c.act(core.Send{To: l.node, Priority: p, Message: m})
}

// Table returns the endpoint table, for reading by the goroutine that owns the
// core.
func (c *Core) Table() *endpoint.Table { return c.table }

// Self returns the node's own record.
func (c *Core) Self() endpoint.Record { return c.self }

// Live returns the live members of the own zone in order of node key, this
// node included. It must not be changed.
func (c *Core) Live() []model.NodeID { return c.overlay.live }

// Gateway reports whether this node is a gateway of its zone.
func (c *Core) Gateway() bool { return c.overlay.gateway }

// Digest returns the hash of the table for each zone, for Hello and Welcome.
func (c *Core) Digest() []message.ZoneDigest {
	hashes := c.table.Digest()
	d := make([]message.ZoneDigest, len(hashes))
	for i, h := range hashes {
		d[i] = message.ZoneDigest{Zone: h.Zone, Hash: h.Hash}
	}
	return d
}

// IncarnationOf returns the newest incarnation known of a node; 0 for none.
func (c *Core) IncarnationOf(id model.NodeID) uint64 {
	r, _ := c.table.Get(id)
	return r.Incarnation
}

// Neighbours returns the connected peers in order of node.
func (c *Core) Neighbours() []model.NodeID {
	ids := make([]model.NodeID, 0, len(c.links))
	for _, l := range c.links {
		if !l.closing {
			ids = append(ids, l.node)
		}
	}
	return slices.Clip(ids)
}

// FlushDue returns when changed records wait to be sent, so that the driver may
// send a Tick then instead of at its usual time. It is zero when none wait.
func (c *Core) FlushDue() time.Time { return c.flood.due }

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }
