// Package evacuation distributes the operators' orders to evacuate availability zones to all
// nodes.
//
// The nodes that read the store receive an order first and flood it. Peers also exchange all
// orders when they connect, and periodically with a random peer. Orders are few, and the one
// with the highest store revision wins. A whole read of the store also cancels evacuations
// that the store no longer holds.
//
// The core is a pure state machine in the sense of coordination/core.
package evacuation

import (
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/coordination/peerset"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/evacuation"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// restoredWait is how long an evacuation stays in force after a store restored from an older
// copy was found not to hold it. It gives operators time to write the lost order again.
const restoredWait = 10 * time.Second

// Read reports the result of a read of the store.
type Read struct {
	// Orders are the orders that were read.
	Orders []evacuation.Order
	// WholeRevision is the store's revision if Orders are all that it holds; 0 if they are
	// only the changes.
	WholeRevision uint64
}

// Event implements core.Event.
func (Read) Event() {}

// Changed reports a change of the set of evacuated zones.
type Changed struct {
	// Zones are all evacuated zones, sorted.
	Zones []model.Zone
	// Order is the order that caused the change.
	Order evacuation.Order
}

// Action implements core.Action.
func (Changed) Action() {}

// Core is the state machine of one node. It takes core.Tick, core.PeerUp, core.PeerDown,
// core.Received and Read. It is not safe for concurrent use.
type Core struct {
	now   time.Time
	out   []core.Action
	table *evacuation.Table
	peers *peerset.Set
	// cancellations are the pending cancellations of evacuations that a restored store
	// doesn't hold, by zone.
	cancellations map[model.Zone]cancellation
}

// cancellation is an order that cancels an evacuation, to be applied at a given time.
type cancellation struct {
	order evacuation.Order
	at    time.Time
}

// New returns a core without any orders.
func New(seed uint64) *Core {
	return &Core{table: evacuation.NewTable(), peers: peerset.New(seed), cancellations: make(map[model.Zone]cancellation)}
}

// Step takes one event and returns the actions it leads to.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	c.out, c.now = nil, now
	switch ev := ev.(type) {
	case core.Tick:
		c.tick()
	case core.PeerUp:
		c.peers.Up(ev.Record.Node)
		c.send(ev.Record.Node, c.table.All())
	case core.PeerDown:
		c.peers.Down(ev.Node)
	case core.Received:
		if m, ok := ev.Message.(*message.Evacuations); ok {
			c.received(ev.From, m.Orders)
		}
	case Read:
		c.read(ev)
	}
	return c.out
}

// read applies the result of a read of the store.
func (c *Core) read(ev Read) {
	for _, o := range ev.Orders {
		c.merge("", o)
	}
	if ev.WholeRevision == 0 {
		return
	}
	for _, held := range c.table.All() {
		absent := !slices.ContainsFunc(ev.Orders, func(o evacuation.Order) bool { return o.Zone == held.Zone })
		if held.Active && absent && held.Revision < ev.WholeRevision {
			c.cancel(evacuation.Order{Zone: held.Zone, Revision: ev.WholeRevision}, held)
		}
	}
}

// cancel cancels an evacuation that the store no longer holds: at once, or after restoredWait
// if the store was restored from an older copy.
func (c *Core) cancel(end, held evacuation.Order) {
	if store.Epoch(end.Revision) == store.Epoch(held.Revision) {
		c.merge("", end)
		return
	}
	if _, pending := c.cancellations[end.Zone]; !pending {
		c.cancellations[end.Zone] = cancellation{order: end, at: c.now.Add(restoredWait)}
	}
}

// received merges a peer's orders and sends it the newer ones of those that it holds.
func (c *Core) received(from model.NodeID, orders []evacuation.Order) {
	var newer []evacuation.Order
	for _, o := range orders {
		if held, ok := c.table.Get(o.Zone); ok && held.Revision > o.Revision {
			newer = append(newer, held)
		}
		c.merge(from, o)
	}
	c.send(from, newer)
}

// merge stores an order if it is newer than the held one for its zone, and floods it to the
// peers except from, its sender; from is empty if the order was read from the store.
func (c *Core) merge(from model.NodeID, o evacuation.Order) {
	wasActive := c.table.Active(o.Zone)
	if !c.table.Merge(o) {
		return
	}
	delete(c.cancellations, o.Zone)
	if wasActive != o.Active {
		c.out = append(c.out, Changed{Zones: c.table.Zones(), Order: o})
	}
	for _, to := range c.peers.All() {
		if to != from {
			c.send(to, []evacuation.Order{o})
		}
	}
}

// tick applies the cancellations that are due and, if a comparison is due, sends all orders to
// a random peer.
func (c *Core) tick() {
	for _, e := range c.cancellations {
		if !c.now.Before(e.at) {
			c.merge("", e.order)
		}
	}
	if to, due := c.peers.ComparisonDue(c.now); due {
		c.send(to, c.table.All())
	}
}

// send sends orders to a peer, if there are any and it is connected.
func (c *Core) send(to model.NodeID, orders []evacuation.Order) {
	if len(orders) > 0 && c.peers.Has(to) {
		c.out = append(c.out, core.Send{To: to, Priority: message.Urgent, Message: &message.Evacuations{Orders: orders}})
	}
}
