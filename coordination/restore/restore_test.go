package restore

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
)

var begin = time.Unix(1_000_000, 0)

// tick is the interval between two ticks in these tests.
const tick = 10 * time.Millisecond

// rewrites returns the times, relative to begin, at which a core requests a rewrite of the own
// rows, up to the given time.
func rewrites(c *Core, within time.Duration) []time.Duration {
	var at []time.Duration
	for d := time.Duration(0); d <= within; d += tick {
		for range c.Step(begin.Add(d), core.Tick{}) {
			at = append(at, d)
		}
	}
	return at
}

func TestFirstEpochIsNoRestore(t *testing.T) {
	c := New(DefaultConfig(), 1)
	must.SliceEmpty(t, c.Step(begin, EpochSeen{Epoch: 7}))
	must.SliceEmpty(t, c.Step(begin, EpochSeen{Epoch: 7}))
	must.SliceEmpty(t, c.Step(begin, EpochSeen{Epoch: 6}))
	must.SliceEmpty(t, rewrites(c, 5*time.Second))
}

func TestStoreWithoutEpochCausesNoAction(t *testing.T) {
	c := New(DefaultConfig(), 1)
	for range 5 {
		must.SliceEmpty(t, c.Step(begin, EpochSeen{}))
		must.SliceEmpty(t, c.Step(begin, core.Received{From: "a", Message: &message.ReaderBeacon{Reader: "a"}}))
	}
	must.SliceEmpty(t, rewrites(c, 5*time.Second))
}

// A node that doesn't read the store itself detects a restore by a beacon. It must report each
// restore once, whatever the source.
func TestEachRestoreIsReportedOnce(t *testing.T) {
	c := New(DefaultConfig(), 1)
	beacon := func(epoch uint64) core.Event {
		return core.Received{From: "a", Message: &message.ReaderBeacon{Reader: "a", Epoch: epoch}}
	}
	must.SliceEmpty(t, c.Step(begin, EpochSeen{Epoch: 2}))
	must.Eq(t, []core.Action{Restored{Epoch: 3}}, c.Step(begin, beacon(3)))
	must.SliceEmpty(t, c.Step(begin, beacon(3)))
	must.SliceEmpty(t, c.Step(begin, EpochSeen{Epoch: 3}))
	must.Eq(t, []core.Action{Restored{Epoch: 4}}, c.Step(begin, EpochSeen{Epoch: 4}))
	must.Len(t, 1, rewrites(c, 5*time.Second), must.Sprint("both restores lead to one rewrite"))
	must.SliceEmpty(t, rewrites(c, 5*time.Second))
}

// The rewrites of a zone's nodes are spread evenly over Config.Spread, however many nodes the
// zone has.
func TestRewritesAreSpreadEvenly(t *testing.T) {
	for _, live := range []int{1, 62, 860} {
		perTenth := make(map[time.Duration]int)
		for rank := range live {
			c := New(DefaultConfig(), uint64(rank))
			c.Step(begin, RankChanged{Rank: rank, Live: live})
			c.Step(begin, EpochSeen{Epoch: 1})
			c.Step(begin, EpochSeen{Epoch: 2})
			at := rewrites(c, DefaultConfig().Spread+tick)
			must.Len(t, 1, at)
			perTenth[at[0]/(DefaultConfig().Spread/10)]++
		}
		for _, n := range perTenth {
			must.LessEq(t, live/10+live/20+1, n)
		}
	}
}
