package measure

import (
	"github.com/jacinthgate/jacinthgate/protocol/message"
)

// Numbers of limits in use that are measured.
var limitSizes = []int{1, 10, 100}

// shareFigures measures the messages that share out fleet-wide limits. Their
// numbers are as short as those that coordination/share sends.
func shareFigures() ([]Figure, error) {
	demand := Figure{Name: "whole report of demand, first on a link of the way up", Package: "coordination/share", Unit: "B", Of: "limits in use"}
	shares := Figure{Name: "whole grants, first on a link of the way down", Package: "coordination/share", Unit: "B", Of: "limits in use"}
	for _, n := range limitSizes {
		d := &message.Demand{Zone: zones[0], Node: record(0).Node, Nodes: 10, Applied: 1000}
		s := &message.Shares{Node: record(0).Node, Term: 10, TTLMillis: 8000, Sequence: 1000}
		for i := range n {
			name := organisation(i)
			d.Items = append(d.Items, message.DemandItem{
				Limit: name, PerSecond: 12.25, InFlight: 1.75, HeldPerSecond: 20.125, HeldConcurrency: 3.25,
			})
			s.Items = append(s.Items, message.ShareItem{Limit: name, PerSecond: 20.125, Concurrency: 3.25})
		}
		for _, m := range []struct {
			to      *Figure
			message message.Message
		}{{&demand, d}, {&shares, s}} {
			b, err := message.Encode(m.message)
			if err != nil {
				return nil, err
			}
			m.to.add(exact(n, len(b)))
		}
	}
	return []Figure{demand, shares}, nil
}
