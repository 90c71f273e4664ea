package member

import (
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/backoff"
	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// dialer paces the attempts to connect.
type dialer struct {
	targets map[model.NodeID]*target
	tokens  float64
	filled  time.Time
}

// target is a peer that was dialled.
type target struct {
	failures int
	next     time.Time // no attempt before
	dialling bool
	since    time.Time // when the attempt in flight began
}

// steadyAfter is how long a link must have lasted for its loss not to count
// as a failed attempt.
const steadyAfter = 5 * time.Second

// dialWanted dials the wanted peers that this node has to dial.
func (c *Core) dialWanted() {
	if c.left {
		return
	}
	for _, id := range c.overlay.order {
		if c.overlay.wanted[id] && c.link(id) == nil {
			c.dial(id)
		}
	}
}

// dial attempts to connect to a member, when its backoff and the node's rate
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
	if t.dialling && c.now.Sub(t.since) >= c.cfg.ConnectTimeout {
		c.dialFailed(core.DialFailed{Node: id, Addr: r.PeerAddr})
	}
	if t.dialling || c.now.Before(t.next) || !c.takeConnect() {
		return
	}
	t.dialling = true
	t.since = c.now
	c.act(core.Connect{Node: id, Addr: r.PeerAddr})
}

// takeConnect reports whether another attempt may be made now.
func (c *Core) takeConnect() bool {
	d := &c.dialer
	if !d.filled.IsZero() {
		gained := c.now.Sub(d.filled).Seconds() * c.cfg.ConnectsPerSecond
		d.tokens = min(c.cfg.ConnectBurst, d.tokens+gained)
	}
	d.filled = c.now
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

// backOff sets the time of the next attempt: twice as late after each failure,
// spread by half.
func (c *Core) backOff(t *target) {
	wait := backoff.Doubled(c.cfg.BackoffMin, c.cfg.BackoffMax, t.failures)
	t.failures++
	t.next = c.now.Add(wait/2 + c.jitter(wait))
}

// connected notes that a peer was reached.
func (d *dialer) connected(id model.NodeID) {
	if t := d.targets[id]; t != nil {
		t.dialling = false
	}
}

// lostLink decides when a lost peer may be dialled again: at once after a link
// that has lasted, with backoff after one that was closed early.
func (c *Core) lostLink(l *link) {
	t := c.dialer.targets[l.node]
	switch {
	case t == nil:
	case c.now.Sub(l.since) >= steadyAfter:
		t.failures = 0
		t.next = c.now
	default:
		c.backOff(t)
	}
}

// forget drops the peers that are no longer wanted.
func (d *dialer) forget(wanted map[model.NodeID]bool) {
	for id, t := range d.targets {
		if _, keep := wanted[id]; !keep && !t.dialling {
			delete(d.targets, id)
		}
	}
}
