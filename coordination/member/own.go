package member

import (
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// announce takes over what the backend server says of itself.
func (c *Core) announce(a Announce) {
	r := c.self
	r.Service = a.Service
	r.Slots = a.Slots
	r.Connections = a.Connections
	r.Draining = a.Draining
	r.Unready = a.Unready
	r.Instance = a.Instance
	r.Version = a.Version
	r.Cold = a.Cold
	if c.left || r == c.self {
		return
	}
	c.self = r
	c.raiseSelf(a.Draining || a.Unready)
}

// raiseSelf gives the own record its next sequence and floods it.
func (c *Core) raiseSelf(urgent bool) {
	c.self.Sequence++
	c.table.Put(c.self)
	c.overlay.dirty[c.self.Zone] = true
	c.spread(c.self.Node, "", urgent)
}

// leave floods the own record as left.
func (c *Core) leave() {
	if c.left {
		return
	}
	c.left = true
	c.self.Status = endpoint.StatusLeft
	c.self.Died = c.now.Unix()
	c.raiseSelf(true)
}

// incarnate starts a new incarnation of the own record.
func (c *Core) incarnate(incarnation uint64) {
	if incarnation <= c.self.Incarnation || c.left {
		return
	}
	c.self.Incarnation = incarnation
	c.self.Sequence = 0
	c.raiseSelf(false)
}

// aboutSelf takes a record in the node's own name. A stale or dead one is
// answered or refuted; a newer one shows that the identity is in use
// elsewhere.
func (c *Core) aboutSelf(from model.NodeID, r endpoint.Record) {
	theirs := version{r.Incarnation, r.Sequence}
	switch {
	case r.Incarnation > c.self.Incarnation,
		r.Incarnation == c.self.Incarnation && r.Sequence > c.self.Sequence:
		c.reportConflict(theirs)
	case r.Incarnation < c.self.Incarnation || r.Sequence < c.self.Sequence:
		c.flood.correct(c.self)
	case !sameContent(r, c.self):
		c.refuse(from, &ConflictError{Incarnation: r.Incarnation, Sequence: r.Sequence})
		c.reportConflict(theirs)
	case r.Status != endpoint.StatusAlive && !c.left:
		c.stats.Refuted++
		c.raiseSelf(true)
	}
}

// sameContent compares what only the owner may set.
func sameContent(a, b endpoint.Record) bool {
	a.Status, b.Status = 0, 0
	a.Died, b.Died = 0, 0
	return a == b
}

// reportConflict reports each foreign version of the own record once.
func (c *Core) reportConflict(v version) {
	if v == c.claimed || c.left {
		return
	}
	c.claimed = v
	c.act(IdentityConflict{Incarnation: v.incarnation})
}

func (c *Core) refuse(from model.NodeID, err error) {
	c.stats.Refused++
	c.act(Refused{From: from, Err: err})
}
