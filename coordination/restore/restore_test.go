package restore

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
)

var begin = time.Unix(1_000_000, 0)

// tick is the time between two ticks of these tests.
const tick = 10 * time.Millisecond

// again returns when a core asks for the own rows, from begin on, within a time.
func again(c *Core, within time.Duration) []time.Duration {
	var at []time.Duration
	for d := time.Duration(0); d <= within; d += tick {
		for range c.Step(begin.Add(d), core.Tick{}) {
			at = append(at, d)
		}
	}
	return at
}

func TestFirstLifeIsNoRestore(t *testing.T) {
	c := New(DefaultConfig(), 1)
	must.SliceEmpty(t, c.Step(begin, Told{Life: 7}))
	must.SliceEmpty(t, c.Step(begin, Told{Life: 7}))
	must.SliceEmpty(t, c.Step(begin, Told{Life: 6}))
	must.SliceEmpty(t, again(c, 5*time.Second))
}

func TestNothingHappensWhereNoLifeIsTold(t *testing.T) {
	c := New(DefaultConfig(), 1)
	for range 5 {
		must.SliceEmpty(t, c.Step(begin, Told{}))
		must.SliceEmpty(t, c.Step(begin, core.Received{From: "a", Message: &message.ReaderBeacon{Reader: "a"}}))
	}
	must.SliceEmpty(t, again(c, 5*time.Second))
}

// A node that doesn't read the store itself learns of the restore from a beacon, and of each
// restore once.
func TestEachRestoreIsToldOnce(t *testing.T) {
	c := New(DefaultConfig(), 1)
	beacon := func(life uint64) core.Event {
		return core.Received{From: "a", Message: &message.ReaderBeacon{Reader: "a", Life: life}}
	}
	must.SliceEmpty(t, c.Step(begin, Told{Life: 2}))
	must.Eq(t, []core.Action{Restored{Life: 3}}, c.Step(begin, beacon(3)))
	must.SliceEmpty(t, c.Step(begin, beacon(3)))
	must.SliceEmpty(t, c.Step(begin, Told{Life: 3}))
	must.Eq(t, []core.Action{Restored{Life: 4}}, c.Step(begin, Told{Life: 4}))
	must.Len(t, 1, again(c, 5*time.Second), must.Sprint("both restores lead to one write"))
	must.SliceEmpty(t, again(c, 5*time.Second))
}

// However many nodes a zone has, their writes are spread over the same time.
func TestNodesWriteOneAfterTheOther(t *testing.T) {
	for _, live := range []int{1, 62, 860} {
		perTenth := make(map[time.Duration]int)
		for rank := range live {
			c := New(DefaultConfig(), uint64(rank))
			c.Step(begin, Placed{Rank: rank, Live: live})
			c.Step(begin, Told{Life: 1})
			c.Step(begin, Told{Life: 2})
			at := again(c, DefaultConfig().Spread+tick)
			must.Len(t, 1, at)
			perTenth[at[0]/(DefaultConfig().Spread/10)]++
		}
		for _, n := range perTenth {
			must.LessEq(t, live/10+live/20+1, n)
		}
	}
}
