package share

import (
	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// links shortens the messages to each peer to what has changed since the one
// before, and restores those of each peer. A message that follows one that was
// lost can't be restored: it is dropped, and the sender is asked to begin anew
// with a whole one. So the rules of sharing see whole messages only.
type links struct {
	demandOut, demandIn chains[message.DemandItem]
	sharesOut, sharesIn chains[message.ShareItem]
}

func newLinks() *links {
	return &links{
		demandOut: make(chains[message.DemandItem]),
		demandIn:  make(chains[message.DemandItem]),
		sharesOut: make(chains[message.ShareItem]),
		sharesIn:  make(chains[message.ShareItem]),
	}
}

// forget begins anew with a peer.
func (l *links) forget(id model.NodeID) {
	delete(l.demandOut, id)
	delete(l.demandIn, id)
	delete(l.sharesOut, id)
	delete(l.sharesIn, id)
}

// granted returns what was last granted to a peer of a limit.
func (l *links) granted(to model.NodeID, limit string) Amount {
	c := l.sharesOut[to]
	if c == nil {
		return Amount{}
	}
	item := c.items[limit]
	return Amount{item.PerSecond, item.Concurrency}
}

// shorten replaces the whole messages to other nodes among the actions.
func (l *links) shorten(self model.NodeID, actions []core.Action) []core.Action {
	for i, a := range actions {
		s, isSend := a.(core.Send)
		if !isSend || s.To == self {
			continue
		}
		switch m := s.Message.(type) {
		case *message.Demand:
			s.Message = l.shortenDemand(s.To, m)
		case *message.Shares:
			s.Message = l.shortenShares(s.To, m)
		}
		actions[i] = s
	}
	return actions
}

func (l *links) shortenDemand(to model.NodeID, m *message.Demand) *message.Demand {
	if m.Resync {
		return m
	}
	short := *m
	short.Items, short.Gone, short.Since = l.demandOut.shorten(to, m.Sequence, m.Items, demandLimit)
	if short.Since != 0 {
		short.Node = ""
	}
	return &short
}

func (l *links) shortenShares(to model.NodeID, m *message.Shares) *message.Shares {
	if m.Resync {
		return m
	}
	short := *m
	short.Items, short.Gone, short.Since = l.sharesOut.shorten(to, m.Sequence, m.Items, shareLimit)
	if short.Since != 0 {
		short.Node = ""
	}
	return &short
}

// demand restores a demand. It returns nil for one that can't be restored and
// for a request to begin anew.
func (l *links) demand(from model.NodeID, m *message.Demand) (*message.Demand, []core.Action) {
	if m.Resync {
		delete(l.sharesOut, from)
		return nil, nil
	}
	whole := *m
	var ok bool
	if whole.Items, ok = l.demandIn.restore(from, m.Sequence, m.Since, m.Items, m.Gone, demandLimit); !ok {
		return nil, []core.Action{core.Send{To: from, Priority: message.Routine, Message: &message.Shares{Node: from, Resync: true}}}
	}
	whole.Node = from
	return &whole, nil
}

// shares restores grants, likewise.
func (l *links) shares(self, from model.NodeID, zone model.Zone, m *message.Shares) (*message.Shares, []core.Action) {
	if m.Resync {
		delete(l.demandOut, from)
		return nil, nil
	}
	whole := *m
	var ok bool
	if whole.Items, ok = l.sharesIn.restore(from, m.Sequence, m.Since, m.Items, m.Gone, shareLimit); !ok {
		return nil, []core.Action{core.Send{To: from, Priority: message.Routine, Message: &message.Demand{Zone: zone, Node: self, Resync: true}}}
	}
	whole.Node = self
	return &whole, nil
}

func demandLimit(i message.DemandItem) string { return i.Limit }

func shareLimit(i message.ShareItem) string { return i.Limit }
