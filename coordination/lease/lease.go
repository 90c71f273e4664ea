package lease

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
)

// Core is the decision core of one node for one lease.
type Core struct {
	cfg  Config
	self endpoint.Record
	rng  *rand.Rand
	out  []core.Action

	contend bool
	term    uint64    // of this node's newest attempt; 0 before the first
	until   time.Time // the lease lapses; zero: not held

	known    bool // item and revision were read or written in this life
	item     Item
	revision uint64
	since    time.Time // when revision was first seen

	pending  operation
	lastID   uint64
	nextAt   time.Time // when to read or renew next
	settle   bool      // a write was lost: read before the next one
	unproven time.Time // oldest lost write conditional on revision; zero: none
}

// operation is the read or write that waits for its answer.
type operation struct {
	id       uint64 // 0: none
	write    bool
	release  bool
	item     Item
	sentAt   time.Time
	deadline time.Time
}

// New returns the core of a node that does not hold the lease and does not
// contend for it. Of self, Node, Incarnation and PeerAddr are used.
func New(cfg Config, self endpoint.Record, seed uint64) *Core {
	return &Core{cfg: cfg, self: self, rng: rand.New(rand.NewPCG(seed, uint64(self.Node.Key())))}
}

// Held reports whether the node holds the lease at the given time of its own
// clock. It must be asked again before each act that needs the lease: a paused
// process doesn't notice that it lapsed.
func (c *Core) Held(now time.Time) bool { return c.contend && now.Before(c.until) }

// Term returns the fencing number: the term of the lease held, or of the last
// one that this node tried to hold. 0 means none yet.
func (c *Core) Term() uint64 { return c.term }

// Current returns the item as last read or written: who held the lease then.
func (c *Core) Current() Item { return c.item }

// Step takes one event and returns what the driver must do. It takes core.Tick
// and the events of this package; it ignores others. now must come from a clock
// that never goes back.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	switch e := ev.(type) {
	case Candidate:
		c.candidate(now, e)
	case ItemRead:
		c.itemRead(now, e)
	case Written:
		c.written(now, e)
	}
	c.timers(now)
	out := c.out
	c.out = nil
	return out
}

func (c *Core) candidate(now time.Time, e Candidate) {
	if e.Contend == c.contend {
		return
	}
	held := c.Held(now)
	c.contend = e.Contend
	c.nextAt = now
	if !e.Contend && held {
		c.until = time.Time{}
		c.release(now)
	}
}

// timers gives up what has no answer and starts what is due.
func (c *Core) timers(now time.Time) {
	if c.pending.id != 0 && !now.Before(c.pending.deadline) {
		c.lost(now)
	}
	if !c.contend || c.pending.id != 0 || now.Before(c.nextAt) {
		return
	}
	switch {
	case !c.known || c.settle:
		c.read(now)
	case c.mine():
		c.write(now, c.term)
	case c.mayTake(now):
		c.write(now, c.item.Term+1)
	default:
		c.read(now)
	}
}

// mine reports whether the item, as last seen, was written by this process.
func (c *Core) mine() bool {
	return c.revision != 0 && c.item.Holder == c.self.Node &&
		c.item.Incarnation == c.self.Incarnation && c.item.Term == c.term
}

// mayTake reports whether no other node can still hold the lease: there never
// was one, it was released, or it was watched for long enough.
func (c *Core) mayTake(now time.Time) bool {
	if c.revision == 0 || c.item.Holder == "" {
		return true
	}
	return !now.Before(c.since.Add(c.cfg.Duration + c.cfg.Margin))
}

func (c *Core) around(d time.Duration) time.Duration {
	return d - d/10 + time.Duration(c.rng.Int64N(int64(d/5)+1))
}
