package share

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// batch collects the messages of one allocation: at most one of each kind for
// each receiver.
type batch struct {
	sequence     uint64
	shares       map[model.NodeID][]message.ShareItem
	demands      map[model.NodeID][]message.DemandItem
	exceedsLoans bool // the zone still uses more than its newest loans allow
}

func newBatch(sequence uint64) *batch {
	return &batch{
		sequence: sequence,
		shares:   make(map[model.NodeID][]message.ShareItem),
		demands:  make(map[model.NodeID][]message.DemandItem),
	}
}

func (b *batch) addShare(to model.NodeID, limit string, g Amount) {
	b.shares[to] = append(b.shares[to], message.ShareItem{Limit: limit, PerSecond: g.PerSecond, Concurrency: g.Concurrency})
}

func (b *batch) addDemand(reader model.NodeID, item message.DemandItem) {
	b.demands[reader] = append(b.demands[reader], item)
}

// actions returns the messages. Each reader of another zone gets a demand,
// even an empty one: it shows a new reader that this zone borrows nothing from
// it. In the grace period demands are sent only once all members have
// reported, because before that the zone's loans are unknown.
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
	if now.Before(a.graceUntil) && !a.coverage().ownZone {
		return out
	}
	for _, zone := range slices.Sorted(maps.Keys(a.lead.Readers)) {
		reader := a.lead.Readers[zone]
		d := &message.Demand{Zone: a.zone, Node: a.self, Items: b.demands[reader], Nodes: a.ownZone.nodes, Sequence: b.sequence}
		if !b.exceedsLoans && now.Before(a.loans[zone].until) {
			d.Applied = a.loans[zone].sequence
		}
		out = append(out, core.Send{To: reader, Priority: message.Routine, Message: d})
	}
	return out
}
