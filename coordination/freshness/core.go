package freshness

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// maxPending bounds the proofs of versions that are not in force yet. Few are pending at a
// time, as versions that follow each other quickly are skipped.
const maxPending = 8

// proof states that no version above version had been acknowledged at moment.
type proof struct {
	version uint64
	moment  time.Time
	from    model.NodeID // empty for the node's own reads
}

// Core is the state machine that keeps and forwards the proofs of one node. It takes
// core.Tick, core.PeerUp, core.PeerDown, core.Received, Read, InForce and EpochSeen. It is
// not safe for concurrent use.
type Core struct {
	cfg Config
	now time.Time
	out []core.Action

	// stampBase is the stamp of the moment origin.
	stampBase uint64
	origin    time.Time

	// held is the version in force.
	held uint64
	// newest is the highest version known to exist.
	newest uint64
	// epoch is the highest known epoch of the store; 0 for none.
	epoch uint64
	// settledAt is the moment from which reads count as proofs.
	settledAt time.Time
	// current is the latest proof that covers the version in force; its moment is zero for
	// none.
	current proof
	// pending holds the proofs of versions that are not in force yet, in ascending order of
	// both version and moment.
	pending []proof
	peers   map[model.NodeID]*peer
	// reported is the last change reported, without Advanced and From.
	reported Changed
}

// stampBaseBits is the size of the random base of stamps, in bits: large enough that stamps
// of two starts of a node don't collide, and small enough to leave room for years of
// milliseconds.
const stampBaseBits = 62

// New returns the core of a node without a proof.
func New(cfg Config, seed uint64) *Core {
	rng := rand.New(rand.NewPCG(seed, seed))
	return &Core{cfg: cfg, stampBase: 1 + rng.Uint64N(1<<stampBaseBits), peers: make(map[model.NodeID]*peer)}
}

// Step handles one event and returns the resulting actions.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	c.out = nil
	c.now = now
	if c.origin.IsZero() {
		c.origin = now
	}
	advanced := c.handle(ev)
	c.report(advanced)
	c.propagate()
	return c.out
}

// handle reports whether the version in force has got a later proof.
func (c *Core) handle(ev core.Event) bool {
	switch ev := ev.(type) {
	case core.PeerUp:
		c.peerUp(ev)
	case core.PeerDown:
		delete(c.peers, ev.Node)
	case core.Received:
		return c.received(ev.From, ev.Message)
	case Read:
		c.observeEpoch(ev.Epoch)
		return c.accept(proof{version: ev.Version, moment: ev.Began})
	case InForce:
		return c.inForce(ev.Version)
	case EpochSeen:
		c.observeEpoch(ev.Epoch)
	}
	return false
}

// observeEpoch records an epoch of the store. The first one that a node learns of is not
// treated as a restore, as the node can't determine whether it is a new one.
func (c *Core) observeEpoch(epoch uint64) {
	if epoch <= c.epoch {
		return
	}
	if c.epoch != 0 {
		c.storeRestored()
	}
	c.epoch = epoch
}

// storeRestored makes reads prove nothing until the rows that operators wrote are back.
func (c *Core) storeRestored() { c.settledAt = c.now.Add(c.cfg.SettleTime) }

func (c *Core) received(from model.NodeID, m message.Message) bool {
	switch m := m.(type) {
	case *message.DocumentAdvert:
		c.observeVersion(m.Version)
	case *message.ReaderBeacon:
		c.observeEpoch(m.Epoch)
	case *message.Freshness:
		if p, ok := c.decode(from, m); ok {
			return c.accept(p)
		}
	}
	return false
}

// observeVersion records that a version has been written.
func (c *Core) observeVersion(version uint64) { c.newest = max(c.newest, version) }

// accept validates a proof, and applies it or keeps it pending. It reports whether the
// version in force has got a later proof.
func (c *Core) accept(p proof) bool {
	if p.version == 0 || p.version < c.newest || p.moment.Before(c.settledAt) || p.moment.After(c.now) {
		return false
	}
	c.observeVersion(p.version)
	if p.version <= c.held {
		return c.advance(p)
	}
	c.enqueue(p)
	return false
}

// enqueue keeps a proof pending until its version is in force.
func (c *Core) enqueue(p proof) {
	for _, w := range c.pending {
		if w.version <= p.version && !w.moment.Before(p.moment) {
			return
		}
	}
	c.pending = slices.DeleteFunc(c.pending, func(w proof) bool { return w.version >= p.version })
	if len(c.pending) < maxPending { // a later proof finds room once versions come into force
		c.pending = append(c.pending, p)
	}
}

// inForce records that a version is in force and applies the pending proofs that it
// satisfies. It reports whether the version in force has got a later proof.
func (c *Core) inForce(version uint64) bool {
	c.held = max(c.held, version)
	c.observeVersion(version)
	advanced := false
	for len(c.pending) > 0 && c.pending[0].version <= c.held {
		advanced = c.advance(c.pending[0]) || advanced
		c.pending = c.pending[1:]
	}
	return advanced
}

// advance replaces the current proof by one that covers the version in force, if that is
// later. It reports whether it was.
func (c *Core) advance(p proof) bool {
	if !p.moment.After(c.current.moment) {
		return false
	}
	c.current = p
	return true
}

// report emits Changed if anything has changed since the last report.
func (c *Core) report(advanced bool) {
	t := Changed{Moment: c.current.moment, Behind: c.newest > c.held}
	if t == c.reported {
		return
	}
	c.reported = t
	t.Advanced, t.From = advanced, c.current.from
	c.out = append(c.out, t)
}
