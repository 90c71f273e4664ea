package member

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// detector is the failure detector for members of the own zone.
type detector struct {
	// suspicions holds the current suspects.
	suspicions map[model.NodeID]suspicion
	// trustedUntil holds the members that refuted a suspicion of this node, and until when
	// this node doesn't suspect them again. Perhaps only the path between the two is
	// broken, and other members monitor them as well.
	trustedUntil       map[model.NodeID]time.Time
	recentSuspicions   []time.Time // when members of the zone became suspect
	isolatedSuspicions int         // suspicions raised since any peer last connected or sent a message
	graceUntil         time.Time   // no member is suspected before this time
}

// suspicion describes a member that is currently suspect.
type suspicion struct {
	deadline time.Time // the member is marked as failed after this time
	own      bool      // raised by this node
}

// detectPause detects that the process did not run for longer than PauseThreshold. Peers'
// silence during that time is no evidence of failure, so all silence and suspicion timers
// restart.
func (c *Core) detectPause() {
	paused := c.now.Sub(c.lastEvent) > c.cfg.PauseThreshold
	c.lastEvent = c.now
	if !paused {
		return
	}
	c.detector.graceUntil = c.now.Add(c.cfg.SuspectAfter)
	for _, l := range c.links {
		l.lastReceived = c.now
	}
	for id, s := range c.detector.suspicions {
		s.deadline = c.now.Add(c.suspicionTimeout(s.own))
		c.detector.suspicions[id] = s
	}
}

// suspicionTimeout returns how long a suspect has to refute. The timeout is longer for
// suspicions raised by other nodes: this node acts on them only if the node that raised
// them can't.
func (c *Core) suspicionTimeout(own bool) time.Duration {
	if own {
		return c.cfg.SuspicionTimeout
	}
	return 2 * c.cfg.SuspicionTimeout
}

// closeSilentLinks closes links that were silent for SuspectAfter and suspects their peers.
func (c *Core) closeSilentLinks() {
	for _, l := range c.links {
		if l.closing || c.now.Sub(l.lastReceived) < c.cfg.SuspectAfter {
			continue
		}
		c.suspect(l.node)
		c.disconnect(l)
	}
}

// suspect marks a live member of the own zone as suspect, unless it recently sent a message
// or refuted a suspicion of this node, a grace period is running, or the cap is reached.
func (c *Core) suspect(id model.NodeID) {
	r, held := c.table.Get(id)
	if !held || r.Zone != c.self.Zone || r.Status != endpoint.StatusAlive || c.left {
		return
	}
	trusted := c.now.Before(c.detector.graceUntil) || c.now.Before(c.detector.trustedUntil[id])
	if trusted || c.isResponsive(id) {
		return
	}
	if !c.belowSuspicionCap() {
		c.stats.SuspicionsSuppressed++
		return
	}
	c.stats.Suspected++
	c.detector.isolatedSuspicions++
	c.raiseStatus(r, endpoint.StatusSuspect)
	c.detector.suspicions[id] = suspicion{
		deadline: c.now.Add(c.suspicionTimeout(true)),
		own:      true,
	}
}

// belowSuspicionCap reports whether the cap allows another suspicion in the zone. A node
// that receives nothing from any peer is probably cut off itself: its suspicions count
// against the cap, regardless of SuspicionWindow, until it receives a message again.
func (c *Core) belowSuspicionCap() bool {
	limit := int(float64(len(c.overlay.live)) * c.cfg.MaxSuspectFraction)
	limit = max(limit, c.cfg.MinSuspects)
	if c.isolated(c.cfg.SuspectAfter) && c.detector.isolatedSuspicions >= limit {
		return false
	}
	oldest := c.now.Add(-c.cfg.SuspicionWindow)
	recent := c.detector.recentSuspicions
	for len(recent) > 0 && !recent[0].After(oldest) {
		recent = recent[1:]
	}
	c.detector.recentSuspicions = recent
	return len(recent) < limit
}

// isResponsive reports whether a peer sent a message within SuspectAfter.
func (c *Core) isResponsive(id model.NodeID) bool {
	l := c.link(id)
	return l != nil && c.now.Sub(l.lastReceived) < c.cfg.SuspectAfter
}

// isolated reports whether no peer sent a message within the given time.
func (c *Core) isolated(within time.Duration) bool {
	for _, l := range c.links {
		if c.now.Sub(l.lastReceived) < within {
			return false
		}
	}
	return true
}

// confirmSuspicions marks suspects as failed that did not refute in time.
func (c *Core) confirmSuspicions() {
	if len(c.detector.suspicions) == 0 || c.now.Before(c.detector.graceUntil) || c.left {
		return
	}
	// The timeout of suspicions raised by other nodes may be shorter than SuspectAfter, so
	// isolation is judged by heartbeats: a working link carries one each HeartbeatInterval.
	isolated := c.isolated(c.cfg.HeartbeatInterval * 3 / 2)
	for _, id := range slices.Sorted(maps.Keys(c.detector.suspicions)) {
		s := c.detector.suspicions[id]
		if c.now.Before(s.deadline) || c.isResponsive(id) || isolated && !s.own {
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

// raiseStatus sets a higher status in another node's record and floods it urgently.
func (c *Core) raiseStatus(r endpoint.Record, s endpoint.Status) {
	r.Status = s
	c.table.Put(r)
	c.overlay.dirty[r.Zone] = true
	c.trackSuspicion(r)
	c.queueFlood(r.Node, "", true)
}

// trackSuspicion updates the suspicions after a record was stored in the table.
func (c *Core) trackSuspicion(r endpoint.Record) {
	if r.Status != endpoint.StatusSuspect || r.Zone != c.self.Zone {
		if c.detector.suspicions[r.Node].own && r.Status == endpoint.StatusAlive {
			c.detector.trustedUntil[r.Node] = c.now.Add(c.cfg.SuspicionWindow)
		}
		delete(c.detector.suspicions, r.Node)
		return
	}
	if _, exists := c.detector.suspicions[r.Node]; exists {
		return
	}
	c.detector.recentSuspicions = append(c.detector.recentSuspicions, c.now)
	c.detector.suspicions[r.Node] = suspicion{deadline: c.now.Add(c.suspicionTimeout(false))}
}
