package distribute

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Two neighbours with the same distance to the reader take turns in delivering
// its beacons first. The upstream must not change with every beacon, only when
// it stops delivering them or another path becomes shorter.
func TestUpstreamStaysUntilARouteIsBetter(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_700_000_000, 0)
	c := New(DefaultConfig(), endpoint.Record{Node: "self", Zone: "csepel"}, 1)
	neighbours := []model.NodeID{"left", "right"}
	for _, id := range neighbours {
		c.Step(now, core.PeerUp{Record: endpoint.Record{Node: id, Zone: "csepel"}})
	}
	beacon := func(from model.NodeID, sequence uint64, hops uint8) {
		m := &message.Beacon{Zone: "csepel", Reader: "reader", Term: 1, Sequence: sequence, Hops: hops}
		c.Step(now, core.Received{From: from, Message: m})
	}
	for sequence := uint64(1); sequence < 10; sequence++ {
		now = now.Add(time.Second)
		first := neighbours[sequence%2]
		beacon(first, sequence, 2)
		beacon(neighbours[1-sequence%2], sequence, 2)
		must.Eq(t, "right", c.Status().Upstream)
	}
	beacon("left", 10, 1)
	must.Eq(t, "left", c.Status().Upstream, must.Sprint("left has the shorter path"))
	beacon("right", 11, 2)
	must.Eq(t, "left", c.Status().Upstream, must.Sprint("left delivered the preceding beacon"))
	beacon("right", 12, 2)
	must.Eq(t, "right", c.Status().Upstream, must.Sprint("left missed two beacons"))
}
