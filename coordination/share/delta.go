package share

import (
	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// deltaCodec encodes the messages to each peer as deltas to the previous
// message, and decodes those from each peer. A delta whose base was lost can't
// be decoded: it is dropped, and the sender is requested to continue with a
// full message. The rest of the package therefore handles full messages only.
type deltaCodec struct {
	demandOut, demandIn deltaChains[message.DemandItem]
	sharesOut, sharesIn deltaChains[message.ShareItem]
}

func newDeltaCodec() *deltaCodec {
	return &deltaCodec{
		demandOut: make(deltaChains[message.DemandItem]),
		demandIn:  make(deltaChains[message.DemandItem]),
		sharesOut: make(deltaChains[message.ShareItem]),
		sharesIn:  make(deltaChains[message.ShareItem]),
	}
}

// forget discards the state of a peer: the next message to it is full, and
// only a full one from it can be decoded.
func (c *deltaCodec) forget(id model.NodeID) {
	delete(c.demandOut, id)
	delete(c.demandIn, id)
	delete(c.sharesOut, id)
	delete(c.sharesIn, id)
}

// lastGranted returns the amount of a limit in the last grants to a peer.
func (c *deltaCodec) lastGranted(to model.NodeID, limit string) Amount {
	chain := c.sharesOut[to]
	if chain == nil {
		return Amount{}
	}
	item := chain.items[limit]
	return Amount{item.PerSecond, item.Concurrency}
}

// encode replaces full messages to other nodes among the actions by deltas.
func (c *deltaCodec) encode(self model.NodeID, actions []core.Action) []core.Action {
	for i, a := range actions {
		s, isSend := a.(core.Send)
		if !isSend || s.To == self {
			continue
		}
		switch m := s.Message.(type) {
		case *message.Demand:
			s.Message = c.encodeDemand(s.To, m)
		case *message.Shares:
			s.Message = c.encodeShares(s.To, m)
		}
		actions[i] = s
	}
	return actions
}

func (c *deltaCodec) encodeDemand(to model.NodeID, m *message.Demand) *message.Demand {
	if m.Resync {
		return m
	}
	delta := *m
	delta.Items, delta.Gone, delta.Since = c.demandOut.encode(to, m.Sequence, m.Items, demandLimit)
	if delta.Since != 0 {
		delta.Node = ""
	}
	return &delta
}

func (c *deltaCodec) encodeShares(to model.NodeID, m *message.Shares) *message.Shares {
	if m.Resync {
		return m
	}
	delta := *m
	delta.Items, delta.Gone, delta.Since = c.sharesOut.encode(to, m.Sequence, m.Items, shareLimit)
	if delta.Since != 0 {
		delta.Node = ""
	}
	return &delta
}

// decodeDemand returns the full demand. If the base of the delta is missing it
// returns nil and the request for a full message. For a resync request of the
// peer it returns nil, and the next grants to the peer will be full.
func (c *deltaCodec) decodeDemand(from model.NodeID, m *message.Demand) (*message.Demand, []core.Action) {
	if m.Resync {
		delete(c.sharesOut, from)
		return nil, nil
	}
	full := *m
	var ok bool
	if full.Items, ok = c.demandIn.decode(from, m.Sequence, m.Since, m.Items, m.Gone, demandLimit); !ok {
		return nil, []core.Action{core.Send{To: from, Priority: message.Routine, Message: &message.Shares{Node: from, Resync: true}}}
	}
	full.Node = from
	return &full, nil
}

// decodeShares does the same for grants; after a resync request the next
// demand to the peer will be full.
func (c *deltaCodec) decodeShares(self, from model.NodeID, zone model.Zone, m *message.Shares) (*message.Shares, []core.Action) {
	if m.Resync {
		delete(c.demandOut, from)
		return nil, nil
	}
	full := *m
	var ok bool
	if full.Items, ok = c.sharesIn.decode(from, m.Sequence, m.Since, m.Items, m.Gone, shareLimit); !ok {
		return nil, []core.Action{core.Send{To: from, Priority: message.Routine, Message: &message.Demand{Zone: zone, Node: self, Resync: true}}}
	}
	full.Node = self
	return &full, nil
}

func demandLimit(i message.DemandItem) string { return i.Limit }

func shareLimit(i message.ShareItem) string { return i.Limit }
