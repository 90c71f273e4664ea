package share

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// shares notes a grant from above and splits it. A grant of an older term than
// one seen comes from a reader that was replaced and is ignored.
func (h *Holder) shares(now time.Time, m *message.Shares) []core.Action {
	if m.Term < h.term {
		return nil
	}
	h.term = m.Term
	h.heard = now
	h.received = m.Sequence
	h.ledger.expire(now)
	until := now.Add(time.Duration(m.TTLMillis) * time.Millisecond)
	down := make(map[model.NodeID][]message.ShareItem)
	next := h.sequence.next(now)
	var actions []core.Action
	for _, item := range m.Items {
		g := grant{Amount{item.PerSecond, item.Concurrency}, until, next}
		h.held[item.Limit] = g
		h.budget.put(item.Limit, h.self, grant{g.amount, until, m.Sequence})
		own := h.split(now, item.Limit, g, down)
		h.applied[item.Limit] = grant{own, until, next}
		actions = append(actions, SetShare{Limit: item.Limit, Amount: own})
	}
	for _, id := range slices.Sorted(maps.Keys(down)) {
		actions = append(actions, core.Send{To: id, Priority: message.Routine, Message: &message.Shares{
			Node: id, Term: m.Term, Items: down[id], TTLMillis: m.TTLMillis, Sequence: next,
		}})
	}
	return actions
}

// split shares one grant among this node and the children that ask for the
// limit, and returns this node's part. A child's older grants count until it
// confirms the newer one or they expire. Likewise an older grant from above may
// be used up until this node has confirmed that the newer one is kept to.
func (h *Holder) split(now time.Time, limit string, g grant, down map[model.NodeID][]message.ShareItem) Amount {
	ids, claims := h.claims(limit)
	plan := h.keep(limit, ids, g.amount, fill(g.amount, claims))
	budget := h.budget.live(limit, h.self, now)
	for i, id := range ids {
		a := plan[i].smaller(budget.minus(h.ledger.others(limit, id, now)).positive()).down()
		h.ledger.put(limit, id, grant{a, g.until.Add(h.cfg.Slack), g.sequence})
		down[id] = append(down[id], message.ShareItem{Limit: limit, PerSecond: a.PerSecond, Concurrency: a.Concurrency})
	}
	own := plan[len(plan)-1]
	return own.smaller(budget.minus(h.ledger.others(limit, h.self, now)).positive())
}

// keep replaces the parts of a plan by what was granted last where that serves
// as well, so that small changes cost no message. The sum stays within whole.
func (h *Holder) keep(limit string, ids []model.NodeID, whole Amount, plan []Amount) []Amount {
	room := whole.minus(total(plan)).positive()
	for i, a := range plan {
		last := h.applied[limit].amount
		if i < len(ids) {
			last = h.links.granted(ids[i], limit)
		}
		plan[i] = near(last, a, a.plus(room))
		room = room.plus(a).minus(plan[i]).positive()
	}
	return plan
}

// claims returns the children that ask for a limit, in order, and their claims
// followed by this node's own.
func (h *Holder) claims(limit string) ([]model.NodeID, []claim) {
	var ids []model.NodeID
	var claims []claim
	for _, id := range slices.Sorted(maps.Keys(h.children)) {
		c := h.children[id]
		if a, asks := c.demand[limit]; asks {
			ids = append(ids, id)
			claims = append(claims, claim{want: a.times(h.cfg.Headroom), weight: float64(c.nodes)})
		}
	}
	var own claim
	own.weight = 1
	if a, asks := h.own[limit]; asks {
		own.want = a.times(h.cfg.Headroom)
	}
	return ids, append(claims, own)
}
