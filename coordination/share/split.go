package share

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// applyShares records grants from upstream and splits them. It ignores grants
// of an older term than the newest one received: they come from a reader that
// was replaced.
func (h *Holder) applyShares(now time.Time, m *message.Shares) []core.Action {
	if m.Term < h.term {
		return nil
	}
	h.term = m.Term
	h.lastGrant = now
	h.receivedSequence = m.Sequence
	h.childLedger.expire(now)
	until := now.Add(time.Duration(m.TTLMillis) * time.Millisecond)
	childShares := make(map[model.NodeID][]message.ShareItem)
	next := h.sequence.next(now)
	var actions []core.Action
	for _, item := range m.Items {
		g := grant{Amount{item.PerSecond, item.Concurrency}, until, next}
		h.subtreeGrants[item.Limit] = g
		h.budget.put(item.Limit, h.self, grant{g.amount, until, m.Sequence})
		own := h.split(now, item.Limit, g, childShares)
		h.ownGrants[item.Limit] = grant{own, until, next}
		actions = append(actions, SetShare{Limit: item.Limit, Amount: own})
	}
	for _, id := range slices.Sorted(maps.Keys(childShares)) {
		actions = append(actions, core.Send{To: id, Priority: message.Routine, Message: &message.Shares{
			Node: id, Term: m.Term, Items: childShares[id], TTLMillis: m.TTLMillis, Sequence: next,
		}})
	}
	return actions
}

// split divides one grant among this node and the children that request the
// limit, and returns this node's part. A child's older grants count until it
// confirms the newer one or they expire. In the same way an older grant from
// upstream may be used until this node has confirmed that its subtree keeps to
// the newer one.
func (h *Holder) split(now time.Time, limit string, g grant, childShares map[model.NodeID][]message.ShareItem) Amount {
	ids, claims := h.claims(limit)
	plan := h.reuseLastGrants(limit, ids, g.amount, fill(g.amount, claims))
	budget := h.budget.live(limit, h.self, now)
	for i, id := range ids {
		a := plan[i].smaller(budget.minus(h.childLedger.liveExcept(limit, id, now)).nonNegative()).roundDown()
		h.childLedger.put(limit, id, grant{a, g.until.Add(h.cfg.Slack), g.sequence})
		childShares[id] = append(childShares[id], message.ShareItem{Limit: limit, PerSecond: a.PerSecond, Concurrency: a.Concurrency})
	}
	own := plan[len(plan)-1]
	return own.smaller(budget.minus(h.childLedger.liveExcept(limit, h.self, now)).nonNegative())
}

// reuseLastGrants replaces the amounts of a plan by the last granted ones
// where these are close enough, so that small changes cost no message. The sum
// stays within available.
func (h *Holder) reuseLastGrants(limit string, ids []model.NodeID, available Amount, plan []Amount) []Amount {
	free := available.minus(sumAmounts(plan)).nonNegative()
	for i, a := range plan {
		last := h.ownGrants[limit].amount
		if i < len(ids) {
			last = h.codec.lastGranted(ids[i], limit)
		}
		plan[i] = reuseLast(last, a, a.plus(free))
		free = free.plus(a).minus(plan[i]).nonNegative()
	}
	return plan
}

// claims returns the children that request a limit, sorted, and their claims
// followed by that of this node.
func (h *Holder) claims(limit string) ([]model.NodeID, []claim) {
	var ids []model.NodeID
	var claims []claim
	for _, id := range slices.Sorted(maps.Keys(h.children)) {
		c := h.children[id]
		if a, requested := c.demand[limit]; requested {
			ids = append(ids, id)
			claims = append(claims, claim{want: a.times(h.cfg.Headroom), weight: float64(c.nodes)})
		}
	}
	var own claim
	own.weight = 1
	if a, requested := h.ownDemand[limit]; requested {
		own.want = a.times(h.cfg.Headroom)
	}
	return ids, append(claims, own)
}
