package balance

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// A request that is restricted to some regions is never sent to another one, not even if all
// servers in the allowed regions are ejected.
func TestConfinedRequestStaysInItsRegions(t *testing.T) {
	p, s, rs := newPicker(), service(0.5), records(4)
	for i := range rs[1:] {
		rs[i+1].Zone, rs[i+1].Region = "z2", "r2"
	}
	for _, tc := range []struct {
		route, organisation []model.Region
		want                map[model.NodeID]bool
	}{
		{[]model.Region{"r2"}, nil, map[model.NodeID]bool{"b": true, "c": true, "d": true}},
		{nil, []model.Region{"r1", "r3"}, map[model.NodeID]bool{"a": true}},
		{[]model.Region{"r1", "r2"}, []model.Region{"r1"}, map[model.NodeID]bool{"a": true}},
		{[]model.Region{"r2"}, []model.Region{"r1"}, nil},
	} {
		got := make(map[model.NodeID]bool)
		for range 50 {
			var tried Exclusions
			tried.Confine(tc.route, tc.organisation)
			must.True(t, tried.Confined())
			c, err := p.Pick(start, s, rs, &tried)
			if len(tc.want) == 0 {
				var none *NoEndpointError
				must.True(t, errors.As(err, &none))
				continue
			}
			must.NoError(t, err)
			got[c.Record.Node] = true
			c.Done(start, Result{Outcome: Failed}) // so that the allowed servers get ejected
		}
		must.MapEq(t, tc.want, got)
	}
}

// A request is sent to another region only if it saves more waiting time than the round trip
// takes.
func TestRequestCrossesToAnotherRegionOnlyForAGain(t *testing.T) {
	for wait, crossesRegion := range map[time.Duration]bool{40 * time.Millisecond: false, 200 * time.Millisecond: true} {
		for region, leaves := range map[model.Region]bool{"r1": true, "r2": crossesRegion} {
			p, s, rs := newPicker(), service(0.5), records(2)
			rs[1].Zone, rs[1].Region = "z2", region
			full := Load{Used: 10, Slots: 10, Queued: 1, MeanServiceTime: 10 * wait}
			c, ok := p.PickNode(start, s, rs, "a", nil)
			must.True(t, ok)
			c.Done(start, Result{Outcome: OK, Latency: time.Millisecond, Load: &full})
			c, err := p.Pick(start, s, rs, nil)
			must.NoError(t, err)
			must.Eq(t, leaves, c.Record.Node == "b", must.Sprintf("%s, region %s", wait, region))
		}
	}
}
