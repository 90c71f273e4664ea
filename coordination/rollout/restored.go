package rollout

import (
	"github.com/jacinthgate/jacinthgate/state/rollout"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// restored handles a restore of the store from an older copy. Phases recorded since that copy
// are written again, unless the store still holds them: a verdict stands.
func (c *Core) restored(epoch uint64) {
	c.epoch, c.restoredAt = epoch, c.now
	for _, r := range c.rollouts {
		if store.Epoch(r.rowRevision) != epoch {
			r.rowRevision = 0
		}
	}
}

// rewriteRecord writes a roll-out's phase to the restored store again, if it is this node's
// turn.
func (c *Core) rewriteRecord(service string, r *localState) {
	if c.epoch == 0 {
		return
	}
	e, _ := c.table.Get(c.now, service)
	if e.StoredEpoch >= c.epoch || !c.rankDelayElapsed(r, c.now.Sub(c.restoredAt)) {
		return
	}
	if phase := storedPhase(e.Phase); phase != rollout.Pending {
		c.write(r, e, phase)
	}
}

// storedPhase returns the phase that the store should hold for a phase p. It is Pending if
// nothing has to be written again, because decide writes the next phase.
func storedPhase(p rollout.Phase) rollout.Phase {
	switch p {
	case rollout.Shifting:
		return rollout.Canary
	case rollout.Stopped:
		return rollout.Pending
	default:
		return p
	}
}

// markStored records in the entry that the restored store holds what it should of an order.
func (c *Core) markStored(held *rollout.Entry) {
	e, _ := c.table.Get(c.now, held.Order.Service)
	if held.Phase == storedPhase(e.Phase) && (held.Order.Revision == e.Order.Revision || held.Order.RewriteOf(&e.Order)) {
		e.StoredEpoch = max(e.StoredEpoch, held.StoredEpoch)
		c.merge(e, false)
	}
}
