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

// collectRecipients records the recipients of messages of a kind from now on.
// The function that it returns returns those since its last call.
func collectRecipients(s *singleCore, kind message.Kind) func() []model.NodeID {
	var ids []model.NodeID
	s.onAction = func(a core.Action) {
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

// newGateway returns a node with the neighbours p1 (its upstream), p2 and p3 in
// its zone and two neighbours in each of two other zones.
func newGateway(t *testing.T) *singleCore {
	s := newSingleCore(t, DefaultConfig())
	for _, id := range []model.NodeID{"p1", "p2", "p3"} {
		s.connectPeer(0, id, snapshot.Ref{}, true, 0)
	}
	for _, r := range []endpoint.Record{{Node: "a1", Zone: "zone-a"}, {Node: "a2", Zone: "zone-a"}, {Node: "b1", Zone: "zone-b"}, {Node: "b2", Zone: "zone-b"}} {
		s.step(0, core.PeerUp{Record: r})
	}
	s.beacon(0, "p1", 1, true)
	return s
}

func TestStatusesFollowTheUpstreamTree(t *testing.T) {
	t.Parallel()
	s := newGateway(t)
	statuses := collectRecipients(s, message.KindZoneStatus)
	status := func(from model.NodeID, zone model.Zone, sequence uint64) []model.NodeID {
		s.receive(s.elapsed, from, &message.ZoneStatus{Zone: zone, Reader: "p3", Term: 1, Sequence: sequence, Live: 4, Holding: 4})
		return statuses()
	}
	must.Eq(t, []model.NodeID{"a1", "a2", "b1", "b2"}, status("p1", "zone-0", 1))
	must.SliceEmpty(t, status("p2", "zone-0", 1), must.Sprint("twice"))
	must.Eq(t, []model.NodeID{"p1"}, status("a1", "zone-a", 1))
	ack := &message.Acks{Zone: "zone-0", Acks: []message.Ack{{Node: 9, Version: 1}}}
	s.receive(s.elapsed, "p2", ack)
	must.Eq(t, []model.NodeID{"p2"}, statuses(), must.Sprint("a new child gets the status of zone-a; it sent that of zone-0 itself"))
	must.Eq(t, []model.NodeID{"a1", "a2", "b1", "b2", "p2"}, status("p1", "zone-0", 2))
	s.receive(s.elapsed, "p2", &message.Acks{Zone: "zone-0"})
	must.Eq(t, []model.NodeID{"a1", "a2", "b1", "b2"}, status("p1", "zone-0", 3), must.Sprint("p2 is no longer a child"))

	s = newGateway(t)
	statuses = collectRecipients(s, message.KindZoneStatus)
	must.Eq(t, []model.NodeID{"p1"}, status("a1", "zone-a", 1))
	s.idle(400 * time.Millisecond)
	must.SliceEmpty(t, statuses())
	s.idle(2 * time.Second)
	must.Eq(t, []model.NodeID{"a2", "b1"}, statuses(), must.Sprint("one neighbour in the third zone; those that may lack it in its own zone"))
	must.Eq(t, []model.NodeID{"p1"}, status("a1", "zone-a", 2))
	must.SliceEmpty(t, status("b2", "zone-a", 2))
	s.idle(4 * time.Second)
	must.Eq(t, []model.NodeID{"a2"}, statuses(), must.Sprint("a neighbour in zone-b already has it"))
}

func TestNewUpstreamReceivesAck(t *testing.T) {
	t.Parallel()
	s := newGateway(t)
	s.idle(time.Second)
	acks := collectRecipients(s, message.KindAcks)
	s.beacon(3*time.Second, "p2", 3, true)
	must.Eq(t, []model.NodeID{"p1"}, acks())
	must.SliceEmpty(t, sent[*message.Acks](s)[0].Acks)
	s.idle(3500 * time.Millisecond)
	must.Eq(t, []model.NodeID{"p2"}, acks())
	s.connectPeer(s.elapsed, "p2", snapshot.Ref{}, true, 0) // p2 has reconnected
	s.idle(s.elapsed + 500*time.Millisecond)
	must.Eq(t, []model.NodeID{"p2"}, acks())
	// No status arrives: the upstream may have missed the acknowledgement.
	for sequence := uint64(4); sequence < 20; sequence++ {
		s.beacon(s.elapsed+2*time.Second, "p2", sequence, true)
		s.idle(s.elapsed + 200*time.Millisecond)
	}
	repeated := acks()
	must.Between(t, 2, len(repeated), 8)
	must.Eq(t, []model.NodeID{"p2"}, slices.Compact(repeated))
}

// A reader that holds the head announces it by adverts. A beacon with a head
// that the reader does not hold also goes to neighbours in other zones that may
// not have learned of it, but not back into the zone that sent it.
func TestBeaconsForNewHeads(t *testing.T) {
	t.Parallel()
	vs := versions(t, 3)
	s := newGateway(t)
	beacons := collectRecipients(s, message.KindBeacon)
	s.step(0, LeaseChanged{Held: true, Term: 2})
	must.Eq(t, []model.NodeID{"p1", "p2", "p3"}, beacons())
	s.step(0, Loaded{Snapshot: vs[1]})
	s.idle(time.Second)
	must.SliceEmpty(t, beacons())
	s.receive(s.elapsed, "a1", &message.Advert{Held: vs[2].Ref()}) // its body does not arrive
	s.idle(1100 * time.Millisecond)
	must.SliceEmpty(t, beacons())
	s.idle(1300 * time.Millisecond)
	must.Eq(t, []model.NodeID{"a2", "b1", "b2", "p1", "p2", "p3"}, beacons())
	s.receive(s.elapsed, "b1", &message.Beacon{Zone: "zone-b", Reader: "b9", Term: 7, Sequence: 1, Head: vs[3].Ref()})
	must.Eq(t, []model.NodeID{"a1", "a2", "p1", "p2", "p3"}, beacons(), must.Sprint("not sent back into zone-b"))
}

// Two zones between which all links are cut exchange statuses through a third
// zone.
func TestStatusesBypassAPartition(t *testing.T) {
	t.Parallel()
	n := startAll(t, 9, 6, 6, 6)
	for _, l := range n.links {
		if zones := []model.Zone{n.nodes[l[0]].zone, n.nodes[l[1]].zone}; zones[0] == "zone-0" && zones[1] == "zone-1" {
			n.setCut(l, true)
		}
	}
	n.publish(2)
	n.run(4 * time.Second)
	checkInForceEverywhere(t, n, 2, 3)
}
