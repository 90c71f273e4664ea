// Package restore follows the lives of the platform's store, which may come back from an
// older copy of itself: what it had taken since is gone then. It tells the other cores, and
// when it is this node's turn to write again what only this node knows.
//
// A node that reads the store learns of a new life from its answers, and the others from
// the beacons of their zone's readers. A store that doesn't tell its lives leads to nothing.
//
// The core is a pure state machine in the sense of coordination/core.
package restore

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
)

// Config holds the parameters.
type Config struct {
	// Spread is the time over which the nodes of a zone write again, in the order of their
	// ranks: none of it is urgent, and the store has just come back.
	Spread time.Duration
}

// DefaultConfig returns the parameters.
func DefaultConfig() Config { return Config{Spread: 800 * time.Millisecond} }

// Told reports the life that an answer of the store belongs to; 0 is not told.
type Told struct{ Life uint64 }

// Placed reports the node's place among the live members of its zone.
type Placed struct{ Rank, Live int }

// Restored reports that the store has come back from an older copy. It is an action of this
// core, which the driver gives to the others as an event.
type Restored struct {
	// Life is the store's present one.
	Life uint64
}

// WriteAgain asks for the node's own rows to be written again, once. A later one replaces
// one that isn't carried out yet.
type WriteAgain struct{ Life uint64 }

// Event implements core.Event.
func (Told) Event() {}

// Event implements core.Event.
func (Placed) Event() {}

// Event implements core.Event.
func (Restored) Event() {}

// Action implements core.Action.
func (Restored) Action() {}

// Action implements core.Action.
func (WriteAgain) Action() {}

// Core is the state machine of one node. It takes core.Tick, core.Received, Told and
// Placed. It is not safe for concurrent use.
type Core struct {
	cfg        Config
	rng        *rand.Rand
	life       uint64
	rank, live int
	// due is when the own rows are written again; zero where they needn't be.
	due time.Time
}

// New returns the core of a node that knows nothing of the store.
func New(cfg Config, seed uint64) *Core {
	return &Core{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)), live: 1}
}

// Life returns the store's newest life known; 0 for none.
func (c *Core) Life() uint64 { return c.life }

// Step takes one event and returns the actions it leads to.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	switch ev := ev.(type) {
	case core.Tick:
		if !c.due.IsZero() && !now.Before(c.due) {
			c.due = time.Time{}
			return []core.Action{WriteAgain{Life: c.life}}
		}
	case Placed:
		c.rank, c.live = ev.Rank, max(1, ev.Live)
	case Told:
		return c.told(now, ev.Life)
	case core.Received:
		if m, ok := ev.Message.(*message.ReaderBeacon); ok {
			return c.told(now, m.Life)
		}
	}
	return nil
}

// told takes a life. The first one that is known isn't a new one.
func (c *Core) told(now time.Time, life uint64) []core.Action {
	if life <= c.life {
		return nil
	}
	first := c.life == 0
	c.life = life
	if first {
		return nil
	}
	step := float64(c.cfg.Spread) / float64(c.live)
	c.due = now.Add(time.Duration(step * (float64(c.rank) + c.rng.Float64())))
	return []core.Action{Restored{Life: life}}
}
