package rollout

import (
	"github.com/jacinthgate/jacinthgate/state/rollout"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// restored notes that the store has come back from an older copy. What it was told of
// roll-outs is told again, unless it still holds it: a verdict stands.
func (c *Core) restored(life uint64) {
	c.life, c.restoredAt = life, c.now
	for _, r := range c.runs {
		if store.Life(r.row) != life {
			r.row = 0
		}
	}
}

// keep has the store told again how far a roll-out has got, where it is this node's turn.
func (c *Core) keep(service string, r *run) {
	if c.life == 0 {
		return
	}
	e, _ := c.table.Get(c.now, service)
	if e.Kept >= c.life || !c.turn(r, c.now.Sub(c.restoredAt)) {
		return
	}
	if phase := told(e.Phase); phase != rollout.Pending {
		c.write(r, e, phase)
	}
}

// told returns the phase that the store is told of; Pending where that is another step's.
func told(p rollout.Phase) rollout.Phase {
	switch p {
	case rollout.Shifting:
		return rollout.Canary
	case rollout.Stopped:
		return rollout.Pending
	default:
		return p
	}
}

// kept notes that the store holds what it has to be told of an order.
func (c *Core) kept(held *rollout.Entry) {
	e, _ := c.table.Get(c.now, held.Order.Service)
	if held.Phase == told(e.Phase) && (held.Order.Revision == e.Order.Revision || held.Order.Again(&e.Order)) {
		e.Kept = max(e.Kept, held.Kept)
		c.merge(e, false)
	}
}
