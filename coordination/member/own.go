package member

import (
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// announce updates the own record from the backend server's announcement.
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
	c.publishSelf(a.Draining || a.Unready)
}

// publishSelf increments the sequence of the own record, stores it and floods it.
func (c *Core) publishSelf(urgent bool) {
	c.self.Sequence++
	c.table.Put(c.self)
	c.overlay.dirty[c.self.Zone] = true
	c.queueFlood(c.self.Node, "", urgent)
}

// leave floods the own record with the status left.
func (c *Core) leave() {
	if c.left {
		return
	}
	c.left = true
	c.self.Status = endpoint.StatusLeft
	c.self.Died = c.now.Unix()
	c.publishSelf(true)
}

// incarnate starts a new incarnation of the own record.
func (c *Core) incarnate(incarnation uint64) {
	if incarnation <= c.self.Incarnation || c.left {
		return
	}
	c.self.Incarnation = incarnation
	c.self.Sequence = 0
	c.publishSelf(false)
}

// mergeSelf handles a received record of this node itself. An older version is corrected,
// and the current version with a dead or suspect status is refuted. A newer version, or the
// current one with different content, is reported as an identity conflict.
func (c *Core) mergeSelf(from model.NodeID, r endpoint.Record) {
	received := version{r.Incarnation, r.Sequence}
	switch {
	case r.Incarnation > c.self.Incarnation,
		r.Incarnation == c.self.Incarnation && r.Sequence > c.self.Sequence:
		c.reportConflict(received)
	case r.Incarnation < c.self.Incarnation || r.Sequence < c.self.Sequence:
		c.flood.addCorrection(c.self)
	case !sameOwnerFields(r, c.self):
		c.refuse(from, &ConflictError{Incarnation: r.Incarnation, Sequence: r.Sequence})
		c.reportConflict(received)
	case r.Status != endpoint.StatusAlive && !c.left:
		c.stats.Refuted++
		c.publishSelf(true)
	}
}

// sameOwnerFields reports whether two records are equal in the fields that only their owner
// sets; other nodes may set status and time of death.
func sameOwnerFields(a, b endpoint.Record) bool {
	a.Status, b.Status = 0, 0
	a.Died, b.Died = 0, 0
	return a == b
}

// reportConflict emits an IdentityConflict, unless the last one was for the same version.
func (c *Core) reportConflict(v version) {
	if v == c.reportedVersion || c.left {
		return
	}
	c.reportedVersion = v
	c.emit(IdentityConflict{Incarnation: v.incarnation})
}

func (c *Core) refuse(from model.NodeID, err error) {
	c.stats.Refused++
	c.emit(Refused{From: from, Err: err})
}
