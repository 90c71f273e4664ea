// Package restore detects when the platform's store has been restored from an older copy,
// which loses the writes accepted since that copy. It reports the restore to the other cores
// and schedules this node's rewrite of its own rows, those that only this node can supply.
//
// The time between two restores is an epoch of the store, numbered in increasing order. A
// node that reads the store gets the epoch from the store's responses, and other nodes from
// the beacons of their zone's readers. With a store that doesn't report its epoch, the core
// does nothing.
//
// The core is a pure state machine in the sense of coordination/core.
package restore

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
)

// Config holds the parameters of a Core.
type Config struct {
	// Spread is the time over which the nodes of a zone rewrite their own rows, in the order
	// of their ranks. The rows aren't urgent, and the store has only just returned to service.
	Spread time.Duration
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config { return Config{Spread: 800 * time.Millisecond} }

// EpochSeen is the event that the store has responded in an epoch; 0 if it doesn't report its
// epoch.
type EpochSeen struct{ Epoch uint64 }

// RankChanged is the event that the node's rank among the live members of its zone, counted from
// 0, or their number Live may have changed.
type RankChanged struct{ Rank, Live int }

// Restored reports that the store has been restored from an older copy. It is an action of
// this core, which the driver passes to the other cores as an event.
type Restored struct {
	// Epoch is the store's new epoch.
	Epoch uint64
}

// RewriteRows is the action to rewrite the node's own rows once, in the given epoch. It
// replaces an earlier one that isn't completed yet.
type RewriteRows struct{ Epoch uint64 }

// Event implements core.Event.
func (EpochSeen) Event() {}

// Event implements core.Event.
func (RankChanged) Event() {}

// Event implements core.Event.
func (Restored) Event() {}

// Action implements core.Action.
func (Restored) Action() {}

// Action implements core.Action.
func (RewriteRows) Action() {}

// Core is the state machine of one node. It takes core.Tick, core.Received,
// EpochSeen and RankChanged. It is not safe for concurrent use.
type Core struct {
	cfg        Config
	rng        *rand.Rand
	epoch      uint64
	rank, live int
	// due is the time at which to rewrite the own rows; zero if no rewrite is pending.
	due time.Time
}

// New returns the core of a node without a known epoch of the store, as the only live
// member of its zone. The seed is that of the jitter of the rewrite time.
func New(cfg Config, seed uint64) *Core {
	return &Core{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)), live: 1}
}

// Epoch returns the newest known epoch of the store; 0 if none is known.
func (c *Core) Epoch() uint64 { return c.epoch }

// Step takes one event and returns the actions it leads to.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	switch ev := ev.(type) {
	case core.Tick:
		if !c.due.IsZero() && !now.Before(c.due) {
			c.due = time.Time{}
			return []core.Action{RewriteRows{Epoch: c.epoch}}
		}
	case RankChanged:
		c.rank, c.live = ev.Rank, max(1, ev.Live)
	case EpochSeen:
		return c.observe(now, ev.Epoch)
	case core.Received:
		if m, ok := ev.Message.(*message.ReaderBeacon); ok {
			return c.observe(now, m.Epoch)
		}
	}
	return nil
}

// observe processes an observed epoch. A higher one than before means that the store was
// restored, except for the first one that this node observes.
func (c *Core) observe(now time.Time, epoch uint64) []core.Action {
	if epoch <= c.epoch {
		return nil
	}
	first := c.epoch == 0
	c.epoch = epoch
	if first {
		return nil
	}
	step := float64(c.cfg.Spread) / float64(c.live)
	c.due = now.Add(time.Duration(step * (float64(c.rank) + c.rng.Float64())))
	return []core.Action{Restored{Epoch: epoch}}
}
