package distribute

import (
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// serving is the state of the whole versions sent to neighbours.
type serving struct {
	active  []*transfer
	waiting []model.NodeID // in order of arrival
	nextAt  time.Time      // when the first that waits may start
}

// transfer is one whole version on its way to a neighbour.
type transfer struct {
	to    model.NodeID
	ref   snapshot.Ref
	body  []byte
	index uint32
	count uint32
	next  time.Time
}

func (s *serving) drop(id model.NodeID) {
	s.active = slices.DeleteFunc(s.active, func(t *transfer) bool { return t.to == id })
	s.waiting = slices.DeleteFunc(s.waiting, func(w model.NodeID) bool { return w == id })
}

// fetchReceived answers with a delta where a base is shared, else with the
// whole version in parts once it is the peer's turn.
func (c *Core) fetchReceived(now time.Time, p *peer, m *message.Fetch) {
	p.holds(m.Have)
	c.memory.heard(now, p.id().Key(), m.Have.Version)
	c.raiseHead(now, m.Have)
	if !c.held.Ref().Newer(m.Have) {
		c.advertTo(p)
		return
	}
	if c.sendDelta(p, m.Have) {
		return
	}
	for _, version := range m.Recent {
		if c.sendDelta(p, c.history.step(version)) {
			return
		}
	}
	c.queueFull(now, p.id())
}

// sendDelta sends the delta from a base and reports whether there is one that
// fits into a message.
func (c *Core) sendDelta(p *peer, base snapshot.Ref) bool {
	b, err := c.history.delta(base)
	if err != nil || b == nil || len(b) > c.cfg.MaxDeltaBytes {
		return false
	}
	c.send(p.id(), message.Normal, &message.Delta{From: base, To: c.held.Ref(), Body: b})
	return true
}

// queueFull lets a peer wait for its turn. A peer that is being served or
// waits already keeps its place.
func (c *Core) queueFull(now time.Time, id model.NodeID) {
	if slices.Contains(c.serve.waiting, id) {
		return
	}
	for _, t := range c.serve.active {
		if t.to == id && t.ref == c.held.Ref() {
			return
		}
	}
	c.serve.drop(id)
	if len(c.serve.waiting) == 0 && len(c.serve.active) < c.cfg.MaxFull {
		c.startFull(now, id)
		return
	}
	c.serve.waiting = append(c.serve.waiting, id)
}

func (c *Core) startFull(now time.Time, id model.NodeID) {
	body, err := c.history.whole(c.held)
	if err != nil {
		return
	}
	count := (len(body) + c.cfg.PartBytes - 1) / c.cfg.PartBytes
	t := &transfer{to: id, ref: c.held.Ref(), body: body, count: uint32(count), next: now}
	c.serve.active = append(c.serve.active, t)
}

// serveTimer sends the parts that are due and starts the next transfers.
func (c *Core) serveTimer(now time.Time) {
	c.startWaiting(now)
	for _, t := range c.serve.active {
		if !now.Before(t.next) {
			t.next = now.Add(c.cfg.PartPause)
			c.sendParts(t)
		}
	}
	before := len(c.serve.active)
	c.serve.active = slices.DeleteFunc(c.serve.active, func(t *transfer) bool { return t.index == t.count })
	if len(c.serve.active) < before {
		c.serve.nextAt = now.Add(c.jitter(c.cfg.PartPause))
	}
}

func (c *Core) startWaiting(now time.Time) {
	for len(c.serve.waiting) > 0 && len(c.serve.active) < c.cfg.MaxFull && !now.Before(c.serve.nextAt) {
		id := c.serve.waiting[0]
		c.serve.waiting = c.serve.waiting[1:]
		// The peer may have got the version elsewhere while it waited.
		if p := c.peers[id]; p != nil && c.held.Ref().Newer(p.held) {
			c.startFull(now, id)
		}
	}
}

func (c *Core) sendParts(t *transfer) {
	for range c.cfg.PartsPerStep {
		if t.index == t.count {
			return
		}
		from := int(t.index) * c.cfg.PartBytes
		to := min(from+c.cfg.PartBytes, len(t.body))
		part := &message.Full{Ref: t.ref, Index: t.index, Count: t.count, Body: t.body[from:to]}
		c.send(t.to, message.Normal, part)
		t.index++
	}
}
