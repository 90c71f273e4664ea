package member

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// detector finds the failed members of the own zone.
type detector struct {
	suspicions map[model.NodeID]suspicion
	// refuted are the members that refuted a suspicion of this node, and until
	// when it doesn't suspect them again: perhaps only the way between the
	// two is broken, and other members watch them as well.
	refuted    map[model.NodeID]time.Time
	recent     []time.Time // when members of the zone became suspect
	alone      int         // suspicions raised since a link was last heard
	graceUntil time.Time   // nobody is suspected before
}

// suspicion is a member that is suspect at present.
type suspicion struct {
	deadline time.Time
	mine     bool
}

// noticePause detects that the process did not run for a while. What it did
// not hear in that time says nothing about others.
func (c *Core) noticePause() {
	paused := c.now.Sub(c.last) > c.cfg.PauseThreshold
	c.last = c.now
	if !paused {
		return
	}
	c.detector.graceUntil = c.now.Add(c.cfg.SuspectAfter)
	for _, l := range c.links {
		l.heard = c.now
	}
	for id, s := range c.detector.suspicions {
		s.deadline = c.now.Add(c.suspicionTimeout(s.mine))
		c.detector.suspicions[id] = s
	}
}

// suspicionTimeout is longer for those who did not raise the suspicion: they
// act only when the one who did can't.
func (c *Core) suspicionTimeout(mine bool) time.Duration {
	if mine {
		return c.cfg.SuspicionTimeout
	}
	return 2 * c.cfg.SuspicionTimeout
}

// watchLinks gives up the links that have been silent for too long and
// suspects their peers.
func (c *Core) watchLinks() {
	for _, l := range c.links {
		if l.closing || c.now.Sub(l.heard) < c.cfg.SuspectAfter {
			continue
		}
		c.suspect(l.node)
		c.disconnect(l)
	}
}

// suspect marks a live member of the own zone as suspect, unless it was heard
// or the cap is reached.
func (c *Core) suspect(id model.NodeID) {
	r, held := c.table.Get(id)
	if !held || r.Zone != c.self.Zone || r.Status != endpoint.StatusAlive || c.left {
		return
	}
	trusted := c.now.Before(c.detector.graceUntil) || c.now.Before(c.detector.refuted[id])
	if trusted || c.hears(id) {
		return
	}
	if !c.maySuspect() {
		c.stats.Withheld++
		return
	}
	c.stats.Suspected++
	c.detector.alone++
	c.raiseStatus(r, endpoint.StatusSuspect)
	c.detector.suspicions[id] = suspicion{
		deadline: c.now.Add(c.suspicionTimeout(true)),
		mine:     true,
	}
}

// maySuspect caps the suspicions in the zone. A node that hears nobody is
// probably cut off itself: for it the cap holds until it hears somebody.
func (c *Core) maySuspect() bool {
	limit := int(float64(len(c.overlay.live)) * c.cfg.MaxSuspectPart)
	limit = max(limit, c.cfg.MinSuspects)
	if c.isolated(c.cfg.SuspectAfter) && c.detector.alone >= limit {
		return false
	}
	oldest := c.now.Add(-c.cfg.SuspicionWindow)
	recent := c.detector.recent
	for len(recent) > 0 && !recent[0].After(oldest) {
		recent = recent[1:]
	}
	c.detector.recent = recent
	return len(recent) < limit
}

// hears reports whether a peer was heard lately.
func (c *Core) hears(id model.NodeID) bool {
	l := c.link(id)
	return l != nil && c.now.Sub(l.heard) < c.cfg.SuspectAfter
}

// isolated reports whether no link was heard within the given time.
func (c *Core) isolated(within time.Duration) bool {
	for _, l := range c.links {
		if c.now.Sub(l.heard) < within {
			return false
		}
	}
	return true
}

// confirmSuspicions finds those failed who did not refute in time.
func (c *Core) confirmSuspicions() {
	if len(c.detector.suspicions) == 0 || c.now.Before(c.detector.graceUntil) || c.left {
		return
	}
	// The deadline of others' suspicions may be shorter than SuspectAfter: a
	// link that works is heard each HeartbeatInterval.
	isolated := c.isolated(c.cfg.HeartbeatInterval * 3 / 2)
	for _, id := range slices.Sorted(maps.Keys(c.detector.suspicions)) {
		s := c.detector.suspicions[id]
		if c.now.Before(s.deadline) || c.hears(id) || isolated && !s.mine {
			continue
		}
		r, held := c.table.Get(id)
		if !held || r.Status != endpoint.StatusSuspect {
			delete(c.detector.suspicions, id)
			continue
		}
		c.stats.Failed++
		r.Died = c.now.Unix()
		c.raiseStatus(r, endpoint.StatusFailed)
	}
}

// raiseStatus gives another node's record a higher status and floods it.
func (c *Core) raiseStatus(r endpoint.Record, s endpoint.Status) {
	r.Status = s
	c.table.Put(r)
	c.overlay.dirty[r.Zone] = true
	c.noteStatus(r)
	c.spread(r.Node, "", true)
}

// noteStatus keeps the list of suspects in step with the table.
func (c *Core) noteStatus(r endpoint.Record) {
	if r.Status != endpoint.StatusSuspect || r.Zone != c.self.Zone {
		if c.detector.suspicions[r.Node].mine && r.Status == endpoint.StatusAlive {
			c.detector.refuted[r.Node] = c.now.Add(c.cfg.SuspicionWindow)
		}
		delete(c.detector.suspicions, r.Node)
		return
	}
	if _, known := c.detector.suspicions[r.Node]; known {
		return
	}
	c.detector.recent = append(c.detector.recent, c.now)
	c.detector.suspicions[r.Node] = suspicion{deadline: c.now.Add(c.suspicionTimeout(false))}
}
