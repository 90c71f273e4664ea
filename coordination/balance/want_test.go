package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

var (
	lookup = model.Work{Kind: model.KindInteractive, Rank: 1, Target: 120 * time.Millisecond}
	report = model.Work{Kind: model.KindInteractive, Rank: 2, Target: 1200 * time.Millisecond}
)

// trainedPicker returns the pick function of a picker with one server "a" in its own zone and
// one server "b" in another. Both have answered lookups in 30 ms and reports in 480 ms, but
// "a" got mostly reports and "b" mostly lookups.
func trainedPicker(t *testing.T) func(PickOptions) Choice {
	p, s, rs := newPicker(), service(0.5), records(2)
	rs[1].Zone = "z2"
	for i := range 80 {
		id, work, took := rs[i%2].Node, lookup, 30*time.Millisecond
		if (i%2 == 0) == (i%8 != 0) {
			work, took = report, 480*time.Millisecond
		}
		c, ok := p.PickNode(start, s, rs, id, nil)
		must.True(t, ok)
		c.Done(start, Result{Outcome: OK, Latency: took, MeanServiceTime: took, Work: work,
			Load: &Load{Used: 4, Slots: 10, MeanServiceTime: 100 * time.Millisecond}})
	}
	return func(w PickOptions) Choice {
		c, err := p.PickFor(start, s, rs, nil, w)
		must.NoError(t, err)
		return c
	}
}

// Guards against a server counting as slow because it gets a mix of requests that take longer.
// With latencies compared per kind only, the near server counted as 3.9 times slower than the
// far one, which is just as fast; in a deployment it was 8.4 times, and 3,060 of 7,765 requests
// left their zone because of it.
func TestServersAreComparedPerWorkload(t *testing.T) {
	pick := trainedPicker(t)
	for range 20 {
		c := pick(PickOptions{Work: lookup, MaxNearWait: 20 * time.Millisecond})
		must.Eq(t, "a", string(c.Record.Node))
		must.InDelta(t, 1, c.server.slowness(&c.picker.cfg, start.UnixNano()), 0.25)
		c.Done(start, Result{Outcome: Cancelled})
	}
}

// A request stays in its zone while the wait there is within PickOptions.MaxNearWait. Beyond that it
// leaves the zone if it gains more than the margin and PickOptions.MaxNearWait.
func TestRequestLeavesItsZoneOnlyWhereItWouldBeLate(t *testing.T) {
	// The near server has 10 slots, of which other nodes use 3, and one becomes free every
	// 10 ms: the 8th request waits that long, and each further one 10 ms more.
	for patience, near := range map[time.Duration]int{0: 8, 20 * time.Millisecond: 10, 50 * time.Millisecond: 13} {
		pick := trainedPicker(t)
		got := 0
		for pick(PickOptions{Work: lookup, MaxNearWait: patience}).Record.Node == "a" {
			got++
		}
		must.Eq(t, near, got, must.Sprint(patience))
	}
}

// A request with PickOptions.NearestOnly gets no server once all servers of its zone were tried, although
// there is one in another zone.
func TestNearRequestNeverLeavesItsZone(t *testing.T) {
	p, s, rs := newPicker(), service(0.5), records(3)
	rs[2].Zone = "z2"
	var tried Exclusions
	for range 2 {
		c, err := p.PickFor(start, s, rs, &tried, PickOptions{Work: report, NearestOnly: true})
		must.NoError(t, err)
		must.Eq(t, "z1", c.Record.Zone)
		tried.Add(c.Record.Node)
	}
	_, err := p.PickFor(start, s, rs, &tried, PickOptions{Work: report, NearestOnly: true})
	must.Error(t, err)
	c, err := p.PickFor(start, s, rs, &tried, PickOptions{Work: report})
	must.NoError(t, err)
	must.Eq(t, "z2", c.Record.Zone)
}
