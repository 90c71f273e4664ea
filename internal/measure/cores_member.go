package measure

import (
	"fmt"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/coordination/member"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Sizes of the fleet that are measured; the last is the design size.
var nodeSizes = []int{1075, 2150, 4300}

// designZones is the number of zones of the design size.
const designZones = 7

// neighbours is the number of links of the measured node.
const neighbours = 6

// epoch is the time at which the cores start.
var epoch = time.Unix(1_800_000_000, 0)

// record returns the record of one node of the fleet.
func record(i int) endpoint.Record {
	zone := zones[i%designZones]
	return endpoint.Record{
		Node:        model.NodeID(fmt.Sprintf("%s-host-%04d", zone, i/designZones)),
		Zone:        zone,
		Region:      model.Region("region-" + string(zone[0])),
		PeerAddr:    fmt.Sprintf("10.%d.%d.%d:8081", i%designZones, i/256, i%256),
		GateAddr:    fmt.Sprintf("10.%d.%d.%d:8081", i%designZones, i/256, i%256),
		Incarnation: uint64(epoch.UnixMilli()),
		Sequence:    3,
		Service:     fmt.Sprintf("service-%03d", i%designServices),
		Slots:       10,
		Connections: 110,
	}
}

// recordsInMessage is the number of records of one message in a fill.
const recordsInMessage = 200

// newMember returns the membership core of a node that knows a whole fleet and
// is linked to members of its own zone.
func newMember(nodes int) *member.Core {
	c := member.New(member.DefaultConfig(), record(0), nil, 1)
	for i := range neighbours {
		c.Step(epoch, core.PeerUp{Record: record((i + 1) * designZones)})
	}
	from := record(designZones).Node
	for first := 0; first < nodes; first += recordsInMessage {
		m := &message.Records{}
		for i := first; i < min(first+recordsInMessage, nodes); i++ {
			if i > 0 {
				m.Records = append(m.Records, record(i))
			}
		}
		c.Step(epoch, core.Received{From: from, Message: m})
	}
	// The second Tick drops the flooded messages of the first one.
	c.Step(epoch.Add(time.Second), core.Tick{})
	c.Step(epoch.Add(time.Second), core.Tick{})
	c.Table().View()
	return c
}

// memberFigures measures the membership core and the view of endpoints.
func memberFigures() ([]Figure, error) {
	memory := Figure{Name: "records, digests and view", Package: "coordination/member, state/endpoint", Unit: "B heap", Of: "nodes"}
	tick := Figure{Name: "membership, work of each 100 ms", Package: "coordination/member", Unit: "µs", Of: "nodes"}
	change := Figure{Name: "one changed record, flooded, with the new view", Package: "coordination/member", Unit: "µs", Of: "nodes"}
	join := Figure{Name: "all records as sent to a joiner", Package: "coordination/member", Unit: "B", Of: "nodes"}
	lookup := Figure{Name: "look-up of a service's backend servers in one zone", Package: "state/endpoint", Unit: "µs", Of: "nodes"}
	for _, n := range nodeSizes {
		memory.add(heap(n, func() any { return newMember(n) }))
		size, err := joinBytes(newMember(n))
		if err != nil {
			return nil, err
		}
		join.add(exact(n, size))
		c := newMember(n)
		tick.add(tickCost(n, c))
		change.add(changeCost(n, c))
		view := c.Table().View()
		lookup.add(timed(n, func() { view.ServiceInZone("service-100", zones[3]) }))
	}
	return []Figure{memory, tick, change, join, lookup}, nil
}

// tickCost is the cost of a Tick of a node whose links are alive.
func tickCost(nodes int, c *member.Core) Point {
	now := epoch.Add(time.Minute)
	i := 0
	return timed(nodes, func() {
		now = now.Add(100 * time.Millisecond)
		from := record((i%neighbours + 1) * designZones).Node
		c.Step(now, core.Received{From: from, Message: &message.Digest{}})
		c.Step(now, core.Tick{})
		i++
	})
}

func changeCost(nodes int, c *member.Core) Point {
	now := epoch.Add(time.Hour)
	r := record(nodes - 1)
	from := record(designZones).Node
	return timed(nodes, func() {
		now = now.Add(25 * time.Millisecond)
		r.Sequence++
		c.Step(now, core.Received{From: from, Message: &message.Records{Records: []endpoint.Record{r}}})
		c.Table().View()
	})
}

// joinBytes are the encoded bytes of all records in answer to a joiner.
func joinBytes(c *member.Core) (int, error) {
	total := 0
	now := epoch.Add(2 * time.Hour)
	from := record(2 * designZones).Node
	for _, z := range c.Table().Digest() {
		now = now.Add(10 * time.Second) // the answers' budget has filled again
		request := &message.RecordsRequest{Zone: z.Zone}
		for _, a := range c.Step(now, core.Received{From: from, Message: request}) {
			s, ok := a.(core.Send)
			if !ok || s.To != from {
				continue
			}
			b, err := message.Encode(s.Message)
			if err != nil {
				return 0, err
			}
			total += len(b)
		}
	}
	return total, nil
}
