package rollout

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/rollout"
)

// Reasons for stopping a version, besides a Fault.
const (
	reasonFewServers = "too few backend servers"
	reasonFewAnswers = "too few answers"
	reasonTimeout    = "no time left"
)

// decide advances one roll-out as far as its state allows. judge is set when the next
// comparison of the versions is due.
func (c *Core) decide(service string, r *localState, judge bool) {
	e, _ := c.table.Get(c.now, service)
	if judge && r.comparing() {
		c.judgeVersions(r, &e)
	}
	switch r.phase {
	case rollout.Pending:
		c.writeInTurn(r, e, rollout.Canary)
	case rollout.Canary:
		c.endCanary(r, &e)
	case rollout.Shifting:
		if c.now.Sub(r.phaseAt) >= settleDelay(&e.Order) {
			c.writeInTurn(r, e, rollout.Succeeded)
		}
	case rollout.Stopped:
		c.writeInTurn(r, e, rollout.Reverted)
	}
}

// fractionOf returns a fraction of an order's Duration.
func fractionOf(o *rollout.Order, fraction float64) time.Duration {
	return time.Duration(fraction * float64(o.Duration))
}

// settleDelay returns how long all requests go to the new version before its success is
// recorded.
func settleDelay(o *rollout.Order) time.Duration { return min(settleTime, o.Duration/settleDivisor) }

// judgeVersions compares the versions. It stops the new one if it has a fault; otherwise it
// admits non-repeatable requests to the canary once enough repeatable ones were answered, or
// repeatableOnlyEnd is reached.
func (c *Core) judgeVersions(r *localState, e *rollout.Entry) {
	found := r.evidence.findFault(c.now, e.Order.Target)
	if found.fault != NoFault {
		c.advance(e, rollout.Stopped, describe(&found), true)
		return
	}
	if p := r.evidence.progress(c.now, e.Order.Target); r.repeatableOnly &&
		(p.allowsNonRepeatable() || e.Age >= fractionOf(&e.Order, repeatableOnlyEnd)) {
		r.repeatableOnly = false
		c.routingChanged = true
	}
}

// describe returns the text of a finding for the operators.
func describe(f *finding) string {
	var failed, answers int
	for i := range f.Target {
		failed += f.Target[i].Failed
		answers += f.Target[i].Answers
	}
	return fmt.Sprintf("%s of %s requests: %d answers, %d failed; old version %d, %d",
		f.fault, f.Work.Kind, answers, failed, f.Base.Answers, f.Base.Failed)
}

// endCanary ends the canary phase when it is due: with the shift if the new version has
// enough answers and slots, otherwise with a stop at the latest time for it.
func (c *Core) endCanary(r *localState, e *rollout.Entry) {
	o := &e.Order
	if e.Age < fractionOf(o, canaryEnd) {
		return
	}
	overdue := e.Age >= fractionOf(o, latestShift)
	p := r.evidence.progress(c.now, o.Target)
	enoughAnswers, enoughSlots := p.enough(overdue), c.hasSlots(o)
	switch {
	case e.Age >= o.Duration:
		c.advance(e, rollout.Stopped, reasonTimeout, false)
	case enoughAnswers && enoughSlots:
		if c.ownTurn(r, c.now) {
			c.advance(e, rollout.Shifting, "", false)
		}
	case overdue && !enoughSlots:
		c.advance(e, rollout.Stopped, reasonFewServers, false)
	case overdue:
		c.advance(e, rollout.Stopped, reasonFewAnswers, false)
	default:
		r.dueSince = c.now
	}
}

// hasSlots reports whether the new version has enough slots to serve all requests.
func (c *Core) hasSlots(o *rollout.Order) bool {
	if c.view == nil {
		return false
	}
	base, target := 0, 0
	for _, s := range c.view.Service(o.Service) {
		if s.Version == o.Target {
			target += s.Slots
		} else {
			base += s.Slots
		}
	}
	return target > 0 && float64(target) >= minSlotRatio*float64(base)
}

// advance moves a roll-out to its next phase, which is spread to all nodes.
func (c *Core) advance(e *rollout.Entry, to rollout.Phase, reason string, foundHere bool) {
	next := *e
	next.Phase, next.Reason = to, reason
	c.merge(next, foundHere)
}

// writeInTurn writes a phase to the store if it is this node's turn.
func (c *Core) writeInTurn(r *localState, e rollout.Entry, phase rollout.Phase) {
	if c.ownTurn(r, c.now) {
		c.write(r, e, phase)
	}
}

func (c *Core) write(r *localState, e rollout.Entry, phase rollout.Phase) {
	if r.writing || c.now.Before(r.retryAt) {
		return
	}
	r.writing = true
	e.Phase = phase
	c.act(Record{Entry: e, Row: r.rowRevision})
}

// recorded handles the store's response to a Record.
func (c *Core) recorded(ev Recorded) {
	r := c.rollouts[ev.Service]
	if r == nil {
		return
	}
	r.writing = false
	if ev.Outdated {
		r.rowRevision = 0 // the next write is refused and returns the present row
		return
	}
	if ev.Err != nil {
		r.retryAt = c.now.Add(retryDelay)
		return
	}
	r.rowRevision = ev.Row
	if ev.Held == nil {
		return // there is no row: the next write expects none
	}
	e, _ := c.table.Get(c.now, ev.Service)
	// After a restore, the row may be older than what became of its order, so it doesn't
	// count as the end of a replaced order.
	if c.epoch == 0 && e.Order.After(&ev.Held.Order) && !e.Order.RewriteOf(&ev.Held.Order) {
		if c.table.Replaced(*ev.Held) { // the next write replaces the row
			c.markPending(ev.Service)
		}
		return
	}
	c.merge(*ev.Held, false)
	c.markStored(ev.Held)
}

// ownTurn reports whether it is this node's turn for the step that has been due since
// dueSince. All nodes agree on the order, and each waits until those before it have had time
// to act.
func (c *Core) ownTurn(r *localState, now time.Time) bool {
	return c.rankDelayElapsed(r, now.Sub(r.dueSince))
}

// rankDelayElapsed reports whether a step has been due for long enough that it is this node's
// turn.
func (c *Core) rankDelayElapsed(r *localState, due time.Duration) bool {
	return due >= time.Duration(c.rank(r))*rankDelay
}

// rank returns the number of nodes whose turn comes before this one's, up to maxRank. It is
// maxRank as long as the node has no view of the fleet.
func (c *Core) rank(r *localState) int {
	if c.view == nil {
		return maxRank
	}
	rank := 0
	for _, service := range c.view.Services() {
		rank += c.countBefore(r, c.view.Service(service), maxRank-rank, func(*endpoint.Record) bool { return true })
	}
	return rank
}

// countBefore returns how many of the eligible nodes have a lower rank hash than this one, up
// to limit.
func (c *Core) countBefore(r *localState, servers []endpoint.Record, limit int, eligible func(*endpoint.Record) bool) int {
	own, n := rankHash(r.revision, c.self), 0
	for i := range servers {
		if n == limit {
			break
		}
		if s := &servers[i]; eligible(s) && rankHash(r.revision, s.Node) < own {
			n++
		}
	}
	return n
}

// rankHash returns the hash by which the nodes are ordered in the roll-out of an order with
// this revision. All nodes compute the same order.
func rankHash(revision uint64, node model.NodeID) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(revision, 10) + " " + string(node))
}
