package docsync

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Guards against readers that stay in step after a change: a silent store would be noticed by none of
// them before the whole interval is over.
func TestReadsOfASiteEndOneAfterTheOther(t *testing.T) {
	const interval, slots = 2500 * time.Millisecond, 6
	for began := time.Duration(0); began < 2*interval; began += 7 * time.Millisecond {
		var ends []time.Duration
		for slot := range slots {
			s := ReadSchedule{Interval: interval, Slot: slot, Slots: slots}
			ends = append(ends, s.Wait(began))
		}
		slices.Sort(ends)
		must.Between(t, scheduleSlack, ends[0], interval/slots+scheduleSlack, must.Sprint("the first one, from ", began))
		must.LessEq(t, interval+scheduleSlack, ends[slots-1])
		for i := range ends[1:] {
			must.LessEq(t, interval/slots+scheduleSlack, ends[i+1]-ends[i], must.Sprint("from ", began))
		}
	}
}

// A read that returns a little before its end, or after it, must not cost a further read.
func TestReaderReadsOncePerInterval(t *testing.T) {
	const interval = time.Second
	for _, lag := range []time.Duration{-5 * time.Millisecond, 0, 20 * time.Millisecond} {
		s := ReadSchedule{Interval: interval, Slot: 2, Slots: 3}
		now, reads := 300*time.Millisecond, 0
		for ; now < 100*interval; reads++ {
			now += s.Wait(now) + lag
		}
		must.Between(t, 99, reads, 101, must.Sprint(lag))
	}
}

func TestReadersOfAllZonesHaveSlotsOfTheirOwn(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Leaders, cfg.Zones = 2, 3
	var slots []int
	for cfg.ZoneIndex = range cfg.Zones {
		self := fmt.Sprint("self-", cfg.ZoneIndex)
		c := New(cfg, record(self, "z1"), 1)
		for _, live := range [][]model.NodeID{{model.NodeID(self), "other"}, {"other", model.NodeID(self)}} {
			c.Step(begin, Members{Live: live})
			s := c.Schedule(time.Second)
			must.Eq(t, 6, s.Slots)
			slots = append(slots, s.Slot)
		}
	}
	slices.Sort(slots)
	must.Eq(t, []int{0, 1, 2, 3, 4, 5}, slots)
}

// Guards against a pause after a connection has fallen silent, when a new one would work.
func TestUnansweredReadIsRepeatedAtOnceAndOnlyOnce(t *testing.T) {
	modes := func(actions []core.Action) (all []SetReading) {
		for _, a := range actions {
			if s, ok := a.(SetReading); ok {
				all = append(all, s)
			}
		}
		return all
	}
	h := newHarness(t)
	h.step(StoreRead{Version: 1, Body: []byte("1")})
	unanswered := StoreRead{Err: fmt.Errorf("no answer"), Unanswered: true}
	must.Eq(t, []SetReading{{On: true}}, modes(h.step(unanswered)))
	must.Eq(t, []SetReading{{}}, modes(h.step(unanswered)))
}
