package freshness

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// maxWaiting bounds the proofs of versions that are not in force yet. Versions that follow
// each other quickly are skipped, so that few wait.
const maxWaiting = 8

// proof says that no version above version had been acknowledged at moment.
type proof struct {
	version uint64
	moment  time.Time
	from    model.NodeID // empty for the own reads
}

// Core is the state machine of one node. It takes core.Tick, core.PeerUp, core.PeerDown,
// core.Received, Read, InForce and Met. It is not safe for concurrent use.
type Core struct {
	cfg Config
	now time.Time
	out []core.Action

	// base is the stamp of the moment origin.
	base   uint64
	origin time.Time

	held uint64
	// newest is the highest version that is known to exist.
	newest uint64
	// life is the store's highest that is known; 0 for none.
	life uint64
	// settled is from when on reads prove something again.
	settled time.Time
	// counted is the latest proof for the version in force; its moment is zero for none.
	counted proof
	// waiting are the proofs of versions that are not in force yet: each is of a higher
	// version and of a later moment than the one before.
	waiting []proof
	peers   map[model.NodeID]*peer
	told    Changed
}

// baseBits is the size of the base of stamps, in bits: so large that stamps of two starts
// don't meet, and with room for years of milliseconds.
const baseBits = 62

// New returns the core of a node without proof.
func New(cfg Config, seed uint64) *Core {
	rng := rand.New(rand.NewPCG(seed, seed))
	return &Core{cfg: cfg, base: 1 + rng.Uint64N(1<<baseBits), peers: make(map[model.NodeID]*peer)}
}

// Step takes one event and returns the actions it leads to.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	c.out = nil
	c.now = now
	if c.origin.IsZero() {
		c.origin = now
	}
	raised := c.handle(ev)
	c.tell(raised)
	c.passOn()
	return c.out
}

// handle reports whether the version in force has got a later proof.
func (c *Core) handle(ev core.Event) bool {
	switch ev := ev.(type) {
	case core.PeerUp:
		c.up(ev)
	case core.PeerDown:
		delete(c.peers, ev.Node)
	case core.Received:
		return c.received(ev.From, ev.Message)
	case Read:
		c.meet(ev.Life)
		return c.take(proof{version: ev.Version, moment: ev.Began})
	case InForce:
		return c.inForce(ev.Version)
	case Met:
		c.meet(ev.Life)
	}
	return false
}

// meet takes that the store is in a life. A node that knows none yet can't tell whether it
// is a new one.
func (c *Core) meet(life uint64) {
	if life <= c.life {
		return
	}
	if c.life != 0 {
		c.restored()
	}
	c.life = life
}

// restored lets reads prove nothing until operators' rows are back.
func (c *Core) restored() { c.settled = c.now.Add(c.cfg.Settle) }

func (c *Core) received(from model.NodeID, m message.Message) bool {
	switch m := m.(type) {
	case *message.DocumentAdvert:
		c.exists(m.Version)
	case *message.ReaderBeacon:
		c.meet(m.Life)
	case *message.Freshness:
		if p, ok := c.decode(from, m); ok {
			return c.take(p)
		}
	}
	return false
}

// exists notes that a version has been written.
func (c *Core) exists(version uint64) { c.newest = max(c.newest, version) }

// take takes a proof. It reports whether the version in force has got a later one.
func (c *Core) take(p proof) bool {
	if p.version == 0 || p.version < c.newest || p.moment.Before(c.settled) || p.moment.After(c.now) {
		return false
	}
	c.exists(p.version)
	if p.version <= c.held {
		return c.count(p)
	}
	c.keep(p)
	return false
}

// keep lets a proof wait until its version is in force.
func (c *Core) keep(p proof) {
	for _, w := range c.waiting {
		if w.version <= p.version && !w.moment.Before(p.moment) {
			return
		}
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(w proof) bool { return w.version >= p.version })
	if len(c.waiting) < maxWaiting { // the next one finds room: versions come into force
		c.waiting = append(c.waiting, p)
	}
}

// inForce takes that a version is in force, and with it what waited for it.
func (c *Core) inForce(version uint64) bool {
	c.held = max(c.held, version)
	c.exists(version)
	raised := false
	for len(c.waiting) > 0 && c.waiting[0].version <= c.held {
		raised = c.count(c.waiting[0]) || raised
		c.waiting = c.waiting[1:]
	}
	return raised
}

// count takes a proof that counts for the version in force.
func (c *Core) count(p proof) bool {
	if !p.moment.After(c.counted.moment) {
		return false
	}
	c.counted = p
	return true
}

// tell reports what has changed.
func (c *Core) tell(raised bool) {
	t := Changed{Moment: c.counted.moment, Behind: c.newest > c.held}
	if t == c.told {
		return
	}
	c.told = t
	t.Raised, t.From = raised, c.counted.from
	c.out = append(c.out, t)
}
