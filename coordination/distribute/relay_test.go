package distribute

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// collect notes from now on to whom messages of a kind are sent. What it returns
// gives those since the last call.
func collect(s *single, kind message.Kind) func() []model.NodeID {
	var ids []model.NodeID
	s.on = func(a core.Action) {
		if send, ok := a.(core.Send); ok && send.Message.Kind() == kind {
			ids = append(ids, send.To)
		}
	}
	return func() []model.NodeID {
		last := ids
		ids = nil
		return last
	}
}

// border returns a node with the neighbours p1 (the way to the reader), p2 and
// p3 in its zone and two in each of two others.
func border(t *testing.T) *single {
	s := newSingle(t, DefaultConfig())
	for _, id := range []model.NodeID{"p1", "p2", "p3"} {
		s.up(0, id, snapshot.Ref{}, true, 0)
	}
	for _, r := range []endpoint.Record{{Node: "a1", Zone: "zone-a"}, {Node: "a2", Zone: "zone-a"}, {Node: "b1", Zone: "zone-b"}, {Node: "b2", Zone: "zone-b"}} {
		s.step(0, core.PeerUp{Record: r})
	}
	s.beacon(0, "p1", 1, true)
	return s
}

func TestStatusesFollowTheWaysToTheReader(t *testing.T) {
	t.Parallel()
	s := border(t)
	statuses := collect(s, message.KindZoneStatus)
	status := func(from model.NodeID, zone model.Zone, sequence uint64) []model.NodeID {
		s.receive(s.last, from, &message.ZoneStatus{Zone: zone, Reader: "p3", Term: 1, Sequence: sequence, Live: 4, Holding: 4})
		return statuses()
	}
	must.Eq(t, []model.NodeID{"a1", "a2", "b1", "b2"}, status("p1", "zone-0", 1))
	must.SliceEmpty(t, status("p2", "zone-0", 1), must.Sprint("twice"))
	must.Eq(t, []model.NodeID{"p1"}, status("a1", "zone-a", 1))
	ack := &message.Acks{Zone: "zone-0", Acks: []message.Ack{{Node: 9, Version: 1}}}
	s.receive(s.last, "p2", ack)
	must.Eq(t, []model.NodeID{"p2"}, statuses(), must.Sprint("zone-a's; it gave zone-0's itself"))
	must.Eq(t, []model.NodeID{"a1", "a2", "b1", "b2", "p2"}, status("p1", "zone-0", 2))
	s.receive(s.last, "p2", &message.Acks{Zone: "zone-0"})
	must.Eq(t, []model.NodeID{"a1", "a2", "b1", "b2"}, status("p1", "zone-0", 3), must.Sprint("p2 left"))

	s = border(t)
	statuses = collect(s, message.KindZoneStatus)
	must.Eq(t, []model.NodeID{"p1"}, status("a1", "zone-a", 1))
	s.idle(400 * time.Millisecond)
	must.SliceEmpty(t, statuses())
	s.idle(2 * time.Second)
	must.Eq(t, []model.NodeID{"a2", "b1"}, statuses(), must.Sprint("one in a third zone; who may lack it in its own"))
	must.Eq(t, []model.NodeID{"p1"}, status("a1", "zone-a", 2))
	must.SliceEmpty(t, status("b2", "zone-a", 2))
	s.idle(4 * time.Second)
	must.Eq(t, []model.NodeID{"a2"}, statuses(), must.Sprint("zone-b has it"))
}

func TestNewWayToTheReaderIsTold(t *testing.T) {
	t.Parallel()
	s := border(t)
	s.idle(time.Second)
	acks := collect(s, message.KindAcks)
	s.beacon(3*time.Second, "p2", 3, true)
	must.Eq(t, []model.NodeID{"p1"}, acks())
	must.SliceEmpty(t, sent[*message.Acks](s)[0].Acks)
	s.idle(3500 * time.Millisecond)
	must.Eq(t, []model.NodeID{"p2"}, acks())
	s.up(s.last, "p2", snapshot.Ref{}, true, 0) // its connection is a new one
	s.idle(s.last + 500*time.Millisecond)
	must.Eq(t, []model.NodeID{"p2"}, acks())
	// No status comes: that may have been lost.
	for sequence := uint64(4); sequence < 20; sequence++ {
		s.beacon(s.last+2*time.Second, "p2", sequence, true)
		s.idle(s.last + 200*time.Millisecond)
	}
	repeated := acks()
	must.Between(t, 2, len(repeated), 8)
	must.Eq(t, []model.NodeID{"p2"}, slices.Compact(repeated))
}

// A reader that holds the head tells of it by its adverts; beacons of a head go
// out of the zone only where it may not be known.
func TestBeaconsForNewHeads(t *testing.T) {
	t.Parallel()
	vs := versions(t, 3)
	s := border(t)
	beacons := collect(s, message.KindBeacon)
	s.step(0, LeaseChanged{Held: true, Term: 2})
	must.Eq(t, []model.NodeID{"p1", "p2", "p3"}, beacons())
	s.step(0, Loaded{Snapshot: vs[1]})
	s.idle(time.Second)
	must.SliceEmpty(t, beacons())
	s.receive(s.last, "a1", &message.Advert{Held: vs[2].Ref()}) // and its body doesn't come
	s.idle(1100 * time.Millisecond)
	must.SliceEmpty(t, beacons())
	s.idle(1300 * time.Millisecond)
	must.Eq(t, []model.NodeID{"a2", "b1", "b2", "p1", "p2", "p3"}, beacons())
	s.receive(s.last, "b1", &message.Beacon{Zone: "zone-b", Reader: "b9", Term: 7, Sequence: 1, Head: vs[3].Ref()})
	must.Eq(t, []model.NodeID{"a1", "a2", "p1", "p2", "p3"}, beacons(), must.Sprint("not back into its zone"))
}

// A zone whose links to another are cut hears of it by a third one.
func TestStatusesGoRoundACut(t *testing.T) {
	t.Parallel()
	n := startAll(t, 9, 6, 6, 6)
	for _, l := range n.links {
		if zones := []model.Zone{n.nodes[l[0]].zone, n.nodes[l[1]].zone}; zones[0] == "zone-0" && zones[1] == "zone-1" {
			n.setCut(l, true)
		}
	}
	n.publish(2)
	n.run(4 * time.Second)
	inForceEverywhere(t, n, 2, 3)
}
