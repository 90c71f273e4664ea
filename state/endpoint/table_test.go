package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthgate/jacinthgate/state/model"
)

func sample(i int, zone string) Record {
	return Record{
		Node: model.NodeID(fmt.Sprintf("n%02d", i)), Zone: model.Zone(zone),
		PeerAddr: "10.0.0.1:1", GateAddr: "10.0.0.1:2", Service: "s",
	}
}

// TestTableMatchesRebuilt applies random changes to a table and compares its
// digests and view, which are updated incrementally, with those of a table
// built anew from the resulting records.
func TestTableMatchesRebuilt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := NewTable()
		for range rapid.IntRange(1, 60).Draw(rt, "changes") {
			r := sample(rapid.IntRange(0, 9).Draw(rt, "node"), rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"))
			r.Sequence = rapid.Uint64Range(0, 20).Draw(rt, "sequence")
			r.Status = Status(rapid.IntRange(0, 3).Draw(rt, "status"))
			r.Draining = rapid.Bool().Draw(rt, "draining")
			r.Service = rapid.SampledFrom([]string{"", "s", "t"}).Draw(rt, "service")
			old, held := table.Get(r.Node)
			must.Eq(rt, !held || r.Supersedes(old), table.Put(r))
			if rapid.Bool().Draw(rt, "publish") {
				table.View()
			}
			if rapid.IntRange(0, 9).Draw(rt, "delete") == 0 {
				table.Delete(r.Node)
			}
		}
		rebuilt := NewTable()
		for _, r := range table.All() {
			rebuilt.Put(r)
		}
		must.Eq(rt, rebuilt.Digest(), table.Digest())
		must.Eq(rt, rebuilt.BucketHashes("a"), table.BucketHashes("a"))
		must.Eq(rt, rebuilt.View().services, table.View().services)
		must.SliceEmpty(rt, table.Differing("a", append(table.BucketHashes("a"), make([]uint64, Buckets)...)[:Buckets]))
	})
}

func TestViewIsImmutableAndGroupedByZone(t *testing.T) {
	table := NewTable()
	for i, zone := range []string{"b", "a", "b", "c"} {
		table.Put(sample(i, zone))
	}
	v := table.View()
	must.Eq(t, "a", v.Service("s")[0].Zone)
	must.Len(t, 2, v.ServiceInZone("s", "b"))
	must.SliceEmpty(t, v.ServiceInZone("s", "d"))
	r := sample(0, "b")
	r.Sequence, r.Draining = 1, true
	table.Put(r)
	must.True(t, table.Changed())
	must.Len(t, 1, table.View().ServiceInZone("s", "b"))
	must.Len(t, 2, v.ServiceInZone("s", "b"), must.Sprint("the previous view must not change"))
}

func TestExpireForgetsOnlyOldTombstones(t *testing.T) {
	table := NewTable()
	now := time.Unix(1_000_000, 0)
	for i, died := range []int64{0, now.Unix() - 3600, now.Unix() - 10} {
		r := sample(i, "a")
		if r.Died = died; died > 0 {
			r.Status = StatusFailed
		}
		table.Put(r)
	}
	table.Expire(now, time.Hour)
	must.Eq(t, 2, table.Len())
	_, held := table.Get("n01")
	must.False(t, held)
}

func TestViewWithoutZonesSharesUnchangedServices(t *testing.T) {
	table := NewTable()
	for _, r := range []Record{
		{Node: "a", Zone: "z1", Service: "s"}, {Node: "b", Zone: "z2", Service: "s"},
		{Node: "c", Zone: "z2", Service: "u"}, {Node: "d", Zone: "z1", Service: "v"},
	} {
		r.Incarnation = 1
		table.Put(r)
	}
	v := table.View()
	must.True(t, v == v.WithoutZones(nil))
	rest := v.WithoutZones([]model.Zone{"z2"})
	must.Eq(t, []string{"s", "v"}, rest.Services())
	must.Eq(t, "a", rest.Service("s")[0].Node)
	must.Len(t, 1, rest.Service("s"))
	must.True(t, &v.Service("v")[0] == &rest.Service("v")[0])
	must.Len(t, 2, v.Service("s"))
}
