package departure

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/coordination/peerset"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Core is the state machine of one node. It takes core.Tick, core.PeerUp, core.PeerDown,
// core.Received, Leaving, Stated and ListRead. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	self  model.NodeID
	rng   *rand.Rand
	now   time.Time
	out   []core.Action
	peers *peerset.Set
	table table
	// own holds the instances beside this node that have departed in this start of the node, or
	// that it has been told of. The value is set once a peer is known to remember it.
	own    map[string]bool
	start  start
	memory memory
}

// New returns the core of a node that starts. The seed is that of the delays.
func New(cfg Config, self model.NodeID, seed uint64) *Core {
	return &Core{
		cfg: cfg, self: self, rng: rand.New(rand.NewPCG(seed, uint64(self.Key()))),
		peers: peerset.New(seed), table: newTable(), own: make(map[string]bool),
	}
}

// Has reports whether an instance has departed.
func (c *Core) Has(instance string) bool { return c.table.byInstance[instance] != nil }

// AnyOffered reports whether the node of a departed instance may still offer it.
func (c *Core) AnyOffered() bool { return c.table.offered > 0 }

// Settled reports whether Settled has been emitted.
func (c *Core) Settled() bool { return c.start.settled }

// Remembers returns how far back this node's memory of the departures in its availability zone reaches,
// Config.Retention at most.
func (c *Core) Remembers(now time.Time) time.Duration { return c.memory.reach(now, c.cfg.Retention) }

// Newest returns the last departure beside a node, and whether one is remembered.
func (c *Core) Newest(node model.NodeID) (message.Departure, bool) {
	all := c.table.byNode[node]
	if len(all) == 0 {
		return message.Departure{}, false
	}
	return all[len(all)-1].departure(), true
}

// Step takes one event and returns the actions it leads to.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	c.out, c.now = nil, now
	c.memory.begin(now, c.cfg)
	switch ev := ev.(type) {
	case core.Tick:
		c.table.expire(now.Add(-c.cfg.Retention))
		c.tellDue()
	case core.PeerUp:
		c.peerUp(ev)
	case core.PeerDown:
		c.peers.Down(ev.Node)
		if len(c.peers.All()) == 0 {
			c.memory.isolated = true
		}
	case core.Received:
		if m, ok := ev.Message.(*message.Records); ok {
			c.received(ev.From, m)
		}
	case Leaving:
		c.leaving(ev)
	case Stated:
		c.add(entry{node: ev.Node, instance: ev.Instance, incarnation: ev.Incarnation, offered: true})
	case ListRead:
		c.listRead(ev)
	}
	c.settle()
	return c.out
}

// peerUp tells a peer what has departed beside it, and what has departed beside this node if
// nobody is known to remember that yet. A peer that knows of no zone but its own has just started:
// it is told all, so that departures outlast restarts of all others in turn.
func (c *Core) peerUp(ev core.PeerUp) {
	to := ev.Record.Node
	c.peers.Up(to)
	c.memory.linked(c.now)
	c.linked(ev.Record.Zone, ev.Remembers)
	if ev.Drained {
		c.ownDeparted(OwnDeparted{Instance: ev.DrainedInstance})
	}
	c.observe(&ev.Record)
	known := c.table.byNode[to]
	for _, e := range known {
		e.told = max(e.told, ev.Record.Incarnation)
	}
	if len(ev.Digest) <= 1 {
		c.sendAll(to)
		c.sendReach(to, ev.Record.Zone, ev.Remembers)
	} else {
		c.send(to, known[max(0, len(known)-c.cfg.MaxPerNode):])
	}
	for _, e := range c.table.byNode[c.self] {
		if kept, leaving := c.own[e.instance]; leaving && !kept {
			c.send(to, []*entry{e})
		}
	}
}

// received learns from the records and departures that a peer sends.
func (c *Core) received(from model.NodeID, m *message.Records) {
	for i := range m.Records {
		c.observe(&m.Records[i])
	}
	for _, d := range m.Departures {
		c.receivedDeparture(from, d)
	}
	if m.RemembersMillis > 0 {
		c.memory.extend(c.now, fromMillis(m.RemembersMillis, c.cfg.Retention))
	}
}

func (c *Core) receivedDeparture(from model.NodeID, d message.Departure) {
	if !d.Valid() {
		return
	}
	switch {
	case d.Node == c.self && d.Kept:
		c.kept(d.Instance)
	case d.Node == c.self:
		c.ownDeparted(OwnDeparted{Instance: d.Instance})
	case d.Kept:
	default:
		isNew := c.add(entry{node: d.Node, instance: d.Instance, incarnation: d.Incarnation, offered: d.Offered})
		if from == d.Node {
			d.Kept = true
			c.sendTo(from, []message.Departure{d})
		} else if isNew {
			c.forward(c.table.byInstance[d.Instance], from)
		}
	}
}

// forward passes on a departure that a peer has told: its node may have started again, and not all
// nodes on the way to it know. What this node is told as it starts concerns nobody else.
func (c *Core) forward(e *entry, from model.NodeID) {
	switch {
	case e == nil:
	case c.start.settled:
		c.flood(e, from)
	default:
		c.send(e.node, []*entry{e})
	}
}

// observe learns from the record of a node, whoever has sent it.
func (c *Core) observe(r *endpoint.Record) {
	departs := r.Draining && r.Instance != ""
	if !departs && len(c.table.byNode[r.Node]) == 0 || endpoint.Validate(r) != nil {
		return
	}
	if r.Node == c.self {
		if departs {
			c.ownDeparted(OwnDeparted{Instance: r.Instance})
		}
		return
	}
	if departs {
		c.add(entry{node: r.Node, instance: r.Instance, incarnation: r.Incarnation})
	}
	c.scheduleTell(r)
}

// leaving records the departure of the own backend server and tells all peers.
func (c *Core) leaving(ev Leaving) {
	kept := c.own[ev.Instance]
	c.own[ev.Instance] = kept
	if kept {
		c.out = append(c.out, Kept{Instance: ev.Instance})
	}
	c.add(entry{node: c.self, instance: ev.Instance, incarnation: ev.Incarnation})
	if e := c.table.byInstance[ev.Instance]; e != nil {
		c.flood(e, "")
	}
}

// ownDeparted records a departure beside this node, and reports it if the node didn't know of it.
func (c *Core) ownDeparted(a OwnDeparted) {
	if _, known := c.own[a.Instance]; known || a.Instance == "" {
		return
	}
	c.own[a.Instance] = true
	c.add(entry{node: c.self, instance: a.Instance})
	c.out = append(c.out, a)
}

// kept records that a peer remembers a departure beside this node.
func (c *Core) kept(instance string) {
	if kept, leaving := c.own[instance]; leaving && !kept {
		c.own[instance] = true
		c.out = append(c.out, Kept{Instance: instance})
	}
}

// add records a departure and reports whether it wasn't known.
func (c *Core) add(e entry) bool {
	e.at = c.now
	isNew := c.table.add(e, c.cfg.MaxInstances)
	switch {
	case isNew:
		c.out = append(c.out, Departed{Node: e.node, Instance: e.instance, Offered: e.offered})
	case e.offered:
		c.offered(c.table.byInstance[e.instance])
	}
	return isNew
}

// offered notes that the node of a departed instance may offer it.
func (c *Core) offered(e *entry) {
	if e == nil || e.offered {
		return
	}
	e.offered = true
	c.table.offered++
	c.out = append(c.out, Departed{Node: e.node, Instance: e.instance, Offered: true})
}
