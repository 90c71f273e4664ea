package measure

import (
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/coordination/distribute"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Sizes of a zone that are measured; the last is 4,300 nodes in 7 zones.
var zoneSizes = []int{154, 307, 614}

// acksInMessage is the number of acknowledgements that arrive together.
const acksInMessage = 50

// reader is the distribution core of a zone's reader, with what its zone's
// members report.
type reader struct {
	core *distribute.Core
	now  time.Time
	// base and next are two versions; each round moves to a newer one.
	members []model.NodeID
	version uint64
}

// newReader returns the reader of a zone of the given size.
func newReader(members int) (*reader, error) {
	r := &reader{core: distribute.New(distribute.DefaultConfig(), record(0), 1), now: epoch}
	for i := range members {
		r.members = append(r.members, record(i*designZones).Node)
	}
	for i := range neighbours {
		r.core.Step(r.now, core.PeerUp{Record: record((i + 1) * designZones), Ready: true})
	}
	r.core.Step(r.now, distribute.Members{Live: r.members})
	r.core.Step(r.now, distribute.LeaseChanged{Held: true, Term: 1})
	return r, r.accept()
}

// accept lets the reader accept a next version.
func (r *reader) accept() error {
	r.version++
	s, err := Size{Contracts: 1, Routes: 1, Services: 1}.snapshotOf(r.version, 1)
	if err != nil {
		return err
	}
	r.now = r.now.Add(time.Second)
	r.core.Step(r.now, distribute.HeadRead{Ref: s.Ref()})
	r.core.Step(r.now, distribute.Loaded{Snapshot: s})
	return nil
}

// acknowledge feeds the acknowledgements of all members and returns the bytes
// of the zone statuses that the reader floods meanwhile.
func (r *reader) acknowledge() (int, error) {
	sent := 0
	from := record(designZones).Node
	for first := 0; first < len(r.members); first += acksInMessage {
		m := &message.Acks{Zone: zones[0]}
		for _, id := range r.members[first:min(first+acksInMessage, len(r.members))] {
			m.Acks = append(m.Acks, message.Ack{Node: id.Key(), Version: r.version, Incarnation: 1})
		}
		r.now = r.now.Add(10 * time.Millisecond)
		n, err := statusBytes(r.core.Step(r.now, core.Received{From: from, Message: m}))
		if err != nil {
			return 0, err
		}
		sent += n
	}
	return sent, nil
}

func statusBytes(actions []core.Action) (int, error) {
	total := 0
	for _, a := range actions {
		s, ok := a.(core.Send)
		if !ok || s.Message.Kind() != message.KindZoneStatus {
			continue
		}
		b, err := message.Encode(s.Message)
		if err != nil {
			return 0, err
		}
		total += len(b)
	}
	return total, nil
}

// readerFigures measures the reader of a zone.
func readerFigures() ([]Figure, error) {
	acks := Figure{Name: "a version's acknowledgements taken in by the reader", Package: "coordination/distribute", Unit: "µs", Of: "members"}
	wire := Figure{Name: "acknowledgements of a zone, encoded in messages of 50", Package: "protocol/message", Unit: "B", Of: "members"}
	idle := Figure{Name: "reader, work of each 100 ms", Package: "coordination/distribute", Unit: "µs", Of: "members"}
	beacon := Figure{Name: "one beacon taken in and relayed", Package: "coordination/distribute", Unit: "µs", Of: "members"}
	for _, n := range zoneSizes {
		p, err := ackCost(n)
		if err != nil {
			return nil, err
		}
		acks.add(p)
		size, err := ackBytes(n)
		if err != nil {
			return nil, err
		}
		wire.add(exact(n, size))
		r, err := newReader(n)
		if err != nil {
			return nil, err
		}
		idle.add(timed(n, func() {
			r.now = r.now.Add(100 * time.Millisecond)
			r.core.Step(r.now, distribute.HeadRead{Ref: r.core.Held().Ref()})
			r.core.Step(r.now, core.Tick{})
		}))
		beacon.add(beaconCost(n))
	}
	return []Figure{acks, wire, idle, beacon}, nil
}

// ackCost is the time for all acknowledgements of a version, without the
// acceptance of the version itself.
func ackCost(members int) (Point, error) {
	r, err := newReader(members)
	if err != nil {
		return Point{}, err
	}
	var values []float64
	for range 4 * rounds {
		if err := r.accept(); err != nil {
			return Point{}, err
		}
		began := time.Now()
		if _, err := r.acknowledge(); err != nil {
			return Point{}, err
		}
		values = append(values, float64(time.Since(began))/float64(time.Microsecond))
	}
	return point(members, values), nil
}

// ackBytes are the encoded bytes that bring a zone's acknowledgements.
func ackBytes(members int) (int, error) {
	total := 0
	for first := 0; first < members; first += acksInMessage {
		m := &message.Acks{Zone: zones[0]}
		for i := first; i < min(first+acksInMessage, members); i++ {
			m.Acks = append(m.Acks, message.Ack{
				Node:        record(i * designZones).Node.Key(),
				Version:     100_000,
				Incarnation: uint64(epoch.UnixMilli()),
			})
		}
		b, err := message.Encode(m)
		if err != nil {
			return 0, err
		}
		total += len(b)
	}
	return total, nil
}

// beaconCost is the time for one beacon at a node that is not the reader.
func beaconCost(members int) Point {
	c := distribute.New(distribute.DefaultConfig(), record(0), 1)
	var live []model.NodeID
	for i := range members {
		live = append(live, record(i*designZones).Node)
	}
	for i := range neighbours {
		c.Step(epoch, core.PeerUp{Record: record((i + 1) * designZones)})
	}
	c.Step(epoch, distribute.Members{Live: live})
	from := record(designZones)
	now := epoch
	b := message.Beacon{Zone: zones[0], Reader: from.Node, Term: 1, Head: snapshot.Ref{}}
	return timed(members, func() {
		now = now.Add(2 * time.Second)
		b.Sequence++
		m := b
		c.Step(now, core.Received{From: from.Node, Message: &m})
	})
}
