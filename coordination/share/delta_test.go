package share

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// TestDeltaCodecRestoresFullMessages loses messages at random: each received
// message is restored as it was or dropped, and a lost message costs at most
// the one after it.
func TestDeltaCodecRestoresFullMessages(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	sender, receiver := newDeltaCodec(), newDeltaCodec()
	var restored, deltas, lost int
	for sequence := range uint64(2000) {
		m := &message.Demand{Zone: "csepel", Node: "n1", Sequence: 7 * (sequence + 1)}
		for _, name := range []string{"artwork", "clinic", "screens", "tabla"} {
			if r.IntN(4) > 0 {
				m.Items = append(m.Items, message.DemandItem{Limit: name, PerSecond: float64(r.IntN(3))})
			}
		}
		delta := sender.encodeDemand("n0", m)
		if len(delta.Items) < len(m.Items) {
			deltas++
		}
		if r.IntN(10) == 0 {
			lost++
			continue
		}
		full, actions := receiver.decodeDemand("n1", delta)
		if full == nil {
			resync := actions[0].(core.Send).Message.(*message.Shares)
			ignored, _ := sender.decodeShares("n1", "n0", "csepel", resync)
			must.Nil(t, ignored)
			continue
		}
		restored++
		must.SliceContainsAll(t, m.Items, full.Items)
		must.Eq(t, model.NodeID("n1"), full.Node)
	}
	must.Greater(t, 500, deltas)
	must.LessEq(t, 2*lost, 2000-restored)
}

// TestUnchangedGrantsAreRenewedWithoutItems checks that unchanged grants are
// renewed by messages without items, and sent in full after a resync request
// or a new connection.
func TestUnchangedGrantsAreRenewedWithoutItems(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewHolder(DefaultConfig(), "n1", "z1")
	h.Step(now, Route{Upstream: "n1", Zones: 1})
	grant := func(rate float64) *message.Shares {
		now = now.Add(time.Second)
		child := &message.Demand{Zone: "z1", Node: "n2", Items: []message.DemandItem{{Limit: "tabla", PerSecond: 10}}}
		h.Step(now, core.Received{From: "n2", Message: child})
		full := &message.Shares{Node: "n1", TTLMillis: 8000, Items: []message.ShareItem{{Limit: "tabla", PerSecond: rate}}}
		actions := h.Step(now, core.Received{From: "n1", Message: full})
		return actions[len(actions)-1].(core.Send).Message.(*message.Shares)
	}
	must.Len(t, 1, grant(60).Items)
	must.SliceEmpty(t, grant(60).Items)
	must.Len(t, 1, grant(5).Items)
	h.Step(now, core.Received{From: "n2", Message: &message.Demand{Zone: "z1", Resync: true}})
	must.Len(t, 1, grant(5).Items)
	h.Step(now, core.PeerDown{Node: "n2"})
	must.Len(t, 1, grant(5).Items)
}
