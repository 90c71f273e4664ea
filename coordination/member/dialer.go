package member

import (
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/backoff"
	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// dialer limits the rate of connection attempts by a token bucket, and backs off from each
// peer that can't be reached.
type dialer struct {
	targets    map[model.NodeID]*target
	tokens     float64
	refilledAt time.Time // when tokens were last added
}

// target is the dialling state of one peer.
type target struct {
	failures  int       // consecutive failed attempts
	notBefore time.Time // earliest time of the next attempt
	dialling  bool
	startedAt time.Time // when the current attempt started
}

// stableAfter is how long a link must have lasted for its loss not to count as a failed
// attempt.
const stableAfter = 5 * time.Second

// dialWanted dials the wanted peers that this node is responsible for dialling.
func (c *Core) dialWanted() {
	if c.left {
		return
	}
	for _, id := range c.overlay.wantedIDs {
		if c.overlay.wanted[id] && c.link(id) == nil {
			c.dial(id)
		}
	}
}

// dial starts a connection attempt to a member if its backoff and the node's rate limit
// allow it.
func (c *Core) dial(id model.NodeID) {
	r, held := c.table.Get(id)
	if !held {
		return
	}
	t := c.dialer.targets[id]
	if t == nil {
		t = &target{}
		c.dialer.targets[id] = t
	}
	if t.dialling && c.now.Sub(t.startedAt) >= c.cfg.ConnectTimeout {
		c.dialFailed(core.DialFailed{Node: id, Addr: r.PeerAddr})
	}
	if t.dialling || c.now.Before(t.notBefore) || !c.takeDialToken() {
		return
	}
	t.dialling = true
	t.startedAt = c.now
	c.emit(core.Connect{Node: id, Addr: r.PeerAddr})
}

// takeDialToken takes a token for a connection attempt and reports whether there was one.
func (c *Core) takeDialToken() bool {
	d := &c.dialer
	if !d.refilledAt.IsZero() {
		gained := c.now.Sub(d.refilledAt).Seconds() * c.cfg.ConnectsPerSecond
		d.tokens = min(c.cfg.ConnectBurst, d.tokens+gained)
	}
	d.refilledAt = c.now
	if d.tokens < 1 {
		return false
	}
	d.tokens--
	return true
}

func (c *Core) dialFailed(ev core.DialFailed) {
	t := c.dialer.targets[ev.Node]
	if ev.Node == "" || t == nil {
		return
	}
	t.dialling = false
	c.backOff(t)
	if c.overlay.wanted[ev.Node] {
		c.suspect(ev.Node)
	}
}

// backOff sets the earliest time of the next attempt. The delay doubles with each failure
// and is jittered by plus or minus half.
func (c *Core) backOff(t *target) {
	wait := backoff.Doubled(c.cfg.BackoffMin, c.cfg.BackoffMax, t.failures)
	t.failures++
	t.notBefore = c.now.Add(wait/2 + c.jitter(wait))
}

// connected marks the attempt to connect to a peer as finished.
func (d *dialer) connected(id model.NodeID) {
	if t := d.targets[id]; t != nil {
		t.dialling = false
	}
}

// scheduleRedial sets when a peer may be dialled again after its link was lost: immediately
// if the link had lasted for stableAfter, with backoff if it was closed earlier.
func (c *Core) scheduleRedial(l *link) {
	t := c.dialer.targets[l.node]
	switch {
	case t == nil:
	case c.now.Sub(l.connectedAt) >= stableAfter:
		t.failures = 0
		t.notBefore = c.now
	default:
		c.backOff(t)
	}
}

// prune deletes the state of peers that are no longer wanted, except of those being
// dialled.
func (d *dialer) prune(wanted map[model.NodeID]bool) {
	for id, t := range d.targets {
		if _, keep := wanted[id]; !keep && !t.dialling {
			delete(d.targets, id)
		}
	}
}
