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

// The reasons for which a version is stopped, besides a fault.
const (
	reasonNoServers = "too few backend servers"
	reasonUntried   = "too few answers"
	reasonLate      = "no time left"
)

// decide takes one roll-out as far as it can get now.
func (c *Core) decide(service string, r *run, judge bool) {
	e, _ := c.table.Get(c.now, service)
	if judge && r.judged() {
		c.look(r, &e)
	}
	switch r.phase {
	case rollout.Pending:
		c.record(r, e, rollout.Canary)
	case rollout.Canary:
		c.canary(r, &e)
	case rollout.Shifting:
		if c.now.Sub(r.phaseAt) >= settle(&e.Order) {
			c.record(r, e, rollout.Succeeded)
		}
	case rollout.Stopped:
		c.record(r, e, rollout.Reverted)
	}
}

// untilDue returns how long after an order a part of its time is over.
func untilDue(o *rollout.Order, part float64) time.Duration {
	return time.Duration(part * float64(o.Duration))
}

// settle is how long all requests go to the new version before the operators are told.
func settle(o *rollout.Order) time.Duration { return min(settleTime, o.Duration/settlePart) }

// look compares the versions.
func (c *Core) look(r *run, e *rollout.Entry) {
	found := r.evidence.judge(c.now, e.Order.Target)
	if found.fault != NoFault {
		c.advance(e, rollout.Stopped, describe(&found), true)
		return
	}
	if p := r.evidence.progress(c.now, e.Order.Target); r.cautious &&
		(p.trusted() || e.Age >= untilDue(&e.Order, cautiousTime)) {
		r.cautious = false
		c.changed = true
	}
}

// describe says what was found, for people.
func describe(f *finding) string {
	var failed, answers int
	for i := range f.Target {
		failed += f.Target[i].Failed
		answers += f.Target[i].Answers
	}
	return fmt.Sprintf("%s of %s requests: %d answers, %d failed; old version %d, %d",
		f.fault, f.Work.Kind, answers, failed, f.Base.Answers, f.Base.Failed)
}

// canary ends the canary where its time has come.
func (c *Core) canary(r *run, e *rollout.Entry) {
	o := &e.Order
	if e.Age < untilDue(o, canaryTime) {
		return
	}
	last := e.Age >= untilDue(o, latestShift)
	p := r.evidence.progress(c.now, o.Target)
	tried, room := p.enough(last), c.room(o)
	switch {
	case e.Age >= o.Duration:
		c.advance(e, rollout.Stopped, reasonLate, false)
	case tried && room:
		if c.myTurn(r, c.now) {
			c.advance(e, rollout.Shifting, "", false)
		}
	case last && !room:
		c.advance(e, rollout.Stopped, reasonNoServers, false)
	case last:
		c.advance(e, rollout.Stopped, reasonUntried, false)
	default:
		r.eligibleAt = c.now
	}
}

// room reports whether the new version has backend servers for all requests.
func (c *Core) room(o *rollout.Order) bool {
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
	return target > 0 && float64(target) >= shiftSlots*float64(base)
}

// advance takes a roll-out to its next phase, which all nodes learn.
func (c *Core) advance(e *rollout.Entry, to rollout.Phase, reason string, found bool) {
	next := *e
	next.Phase, next.Reason = to, reason
	c.merge(next, found)
}

// record asks for the store to be told of a phase, where it is this node's turn.
func (c *Core) record(r *run, e rollout.Entry, phase rollout.Phase) {
	if c.myTurn(r, c.now) {
		c.write(r, e, phase)
	}
}

func (c *Core) write(r *run, e rollout.Entry, phase rollout.Phase) {
	if r.writing || c.now.Before(r.retryAt) {
		return
	}
	r.writing = true
	e.Phase = phase
	c.act(Record{Entry: e, Row: r.row})
}

// recorded takes the store's answer.
func (c *Core) recorded(ev Recorded) {
	r := c.runs[ev.Service]
	if r == nil {
		return
	}
	r.writing = false
	if ev.Outdated {
		r.row = 0 // the refused write tells what there is now
		return
	}
	if ev.Err != nil {
		r.retryAt = c.now.Add(retryDelay)
		return
	}
	r.row = ev.Row
	if ev.Held == nil {
		return // there is no row yet: the next try expects none
	}
	e, _ := c.table.Get(c.now, ev.Service)
	// In an older copy, the order may have got on since.
	if c.life == 0 && e.Order.After(&ev.Held.Order) && !e.Order.Again(&ev.Held.Order) {
		if c.table.Replaced(*ev.Held) { // the next try replaces it
			c.passOn(ev.Service)
		}
		return
	}
	c.merge(*ev.Held, false)
	c.kept(ev.Held)
}

// myTurn reports whether it is this node's turn to act on what has been due since
// eligibleAt. All nodes agree on the order, and each waits until those before it have
// had time to.
func (c *Core) myTurn(r *run, now time.Time) bool {
	return c.turn(r, now.Sub(r.eligibleAt))
}

// turn reports whether it is this node's turn to act on what has been due for a while.
func (c *Core) turn(r *run, due time.Duration) bool {
	return due >= time.Duration(c.rank(r))*rankDelay
}

// rank returns how many nodes come before this one, up to maxRank.
func (c *Core) rank(r *run) int {
	if c.view == nil {
		return maxRank
	}
	rank := 0
	for _, service := range c.view.Services() {
		rank += c.before(r, c.view.Service(service), maxRank-rank, func(*endpoint.Record) bool { return true })
	}
	return rank
}

// before returns how many of the nodes that count have drawn an earlier lot than this
// one, up to most.
func (c *Core) before(r *run, servers []endpoint.Record, most int, counts func(*endpoint.Record) bool) int {
	own, n := lot(r.revision, c.self), 0
	for i := range servers {
		if n == most {
			break
		}
		if s := &servers[i]; counts(s) && lot(r.revision, s.Node) < own {
			n++
		}
	}
	return n
}

// lot is what a node draws in a roll-out: by it nodes are put in an order, the same
// everywhere.
func lot(revision uint64, node model.NodeID) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(revision, 10) + " " + string(node))
}
