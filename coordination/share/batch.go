package share

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// batch collects one message of each kind for each receiver.
type batch struct {
	sequence  uint64
	shares    map[model.NodeID][]message.ShareItem
	demands   map[model.NodeID][]message.DemandItem
	unsettled bool // the zone still uses more than its newest loans allow
}

func newBatch(sequence uint64) *batch {
	return &batch{
		sequence: sequence,
		shares:   make(map[model.NodeID][]message.ShareItem),
		demands:  make(map[model.NodeID][]message.DemandItem),
	}
}

func (b *batch) give(to model.NodeID, limit string, g Amount) {
	b.shares[to] = append(b.shares[to], message.ShareItem{Limit: limit, PerSecond: g.PerSecond, Concurrency: g.Concurrency})
}

func (b *batch) ask(reader model.NodeID, item message.DemandItem) {
	b.demands[reader] = append(b.demands[reader], item)
}

// actions returns the messages. Each other reader gets a demand, an empty one
// too: it shows a new reader that nothing of its zone's is borrowed. In the
// quiet time that is known once all members have reported.
func (b *batch) actions(a *Allocator, now time.Time) []core.Action {
	var out []core.Action
	for _, id := range slices.Sorted(maps.Keys(b.shares)) {
		ttl := a.cfg.LoanTTL
		if id == a.self {
			ttl = a.cfg.TTL
		}
		out = append(out, core.Send{To: id, Priority: message.Routine, Message: &message.Shares{
			Node: id, Term: a.lead.Term, Items: b.shares[id], TTLMillis: uint32(ttl.Milliseconds()), Sequence: b.sequence,
		}})
	}
	if now.Before(a.quiet) && !a.knowledge().zone {
		return out
	}
	for _, zone := range slices.Sorted(maps.Keys(a.lead.Readers)) {
		reader := a.lead.Readers[zone]
		d := &message.Demand{Zone: a.zone, Node: a.self, Items: b.demands[reader], Nodes: a.own.nodes, Sequence: b.sequence}
		if !b.unsettled && now.Before(a.loans[zone].until) {
			d.Applied = a.loans[zone].sequence
		}
		out = append(out, core.Send{To: reader, Priority: message.Routine, Message: d})
	}
	return out
}
