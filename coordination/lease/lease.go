package lease

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
)

// Core is the state machine by which one node acquires, renews and releases one
// lease.
type Core struct {
	cfg  Config
	self endpoint.Record
	rng  *rand.Rand
	out  []core.Action

	contend   bool
	term      uint64    // of this node's newest attempt; 0 before the first
	heldUntil time.Time // when the lease lapses; zero: not held

	// known is set while item and revision, as last read or written by this
	// process, need no new read.
	known         bool
	item          Item
	revision      uint64
	revisionSince time.Time // when revision was first seen

	pending   operation
	lastID    uint64
	nextAt    time.Time // when the next read or write is due
	readFirst bool      // a write has an unknown result: read before the next write
	// unknownSince is when the oldest write with unknown result that is
	// conditional on revision was sent; zero: none.
	unknownSince time.Time
}

// operation is a read or write in progress.
type operation struct {
	id       uint64 // 0: none
	write    bool
	release  bool
	item     Item
	sentAt   time.Time
	deadline time.Time
}

// New returns the core of a node that neither holds the lease nor contends for
// it. Only Node, Incarnation and PeerAddr of self are used.
func New(cfg Config, self endpoint.Record, seed uint64) *Core {
	return &Core{cfg: cfg, self: self, rng: rand.New(rand.NewPCG(seed, uint64(self.Node.Key())))}
}

// Held reports whether the node holds the lease at the given time of its own
// clock. It must be called before each action that needs the lease, as the
// lease may have lapsed while the process was paused.
func (c *Core) Held(now time.Time) bool { return c.contend && now.Before(c.heldUntil) }

// Term returns the fencing token: the term of the lease held, or of the last
// one that this node tried to acquire; 0 before the first attempt.
func (c *Core) Term() uint64 { return c.term }

// Current returns the item as last read or written, with the holder at that
// time.
func (c *Core) Current() Item { return c.item }

// Step handles one event and returns the actions for the driver. It takes
// core.Tick and the events of this package, and ignores others. now must come
// from a monotonic clock.
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

// candidate starts contending for the lease, or stops and releases a held one.
func (c *Core) candidate(now time.Time, e Candidate) {
	if e.Contend == c.contend {
		return
	}
	held := c.Held(now)
	c.contend = e.Contend
	c.nextAt = now
	if !e.Contend && held {
		c.heldUntil = time.Time{}
		c.release(now)
	}
}

// timers gives up an operation that has timed out, and starts the next one when
// it is due.
func (c *Core) timers(now time.Time) {
	if c.pending.id != 0 && !now.Before(c.pending.deadline) {
		c.giveUp(now)
	}
	if !c.contend || c.pending.id != 0 || now.Before(c.nextAt) {
		return
	}
	switch {
	case !c.known || c.readFirst:
		c.read(now)
	case c.writtenBySelf():
		c.write(now, c.term)
	case c.mayTakeOver(now):
		c.write(now, c.item.Term+1)
	default:
		c.read(now)
	}
}

// writtenBySelf reports whether the item, as last seen, was written by this
// process with its newest term.
func (c *Core) writtenBySelf() bool {
	return c.revision != 0 && c.item.Holder == c.self.Node &&
		c.item.Incarnation == c.self.Incarnation && c.item.Term == c.term
}

// mayTakeOver reports whether no other node can still hold the lease: no node
// has ever held it, it was released, or the item has been unchanged for Duration
// plus Margin.
func (c *Core) mayTakeOver(now time.Time) bool {
	if c.revision == 0 || c.item.Holder == "" {
		return true
	}
	return !now.Before(c.revisionSince.Add(c.cfg.Duration + c.cfg.Margin))
}

// jitter returns d with a jitter of up to 10 % in either direction.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d - d/10 + time.Duration(c.rng.Int64N(int64(d/5)+1))
}
