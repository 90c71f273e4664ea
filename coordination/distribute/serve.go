package distribute

import (
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// serveState is the state of sending whole versions to neighbours.
type serveState struct {
	active      []*transfer
	queue       []model.NodeID // peers that wait for a transfer, in order of arrival
	nextStartAt time.Time      // earliest start of the first queued transfer
}

// transfer is one whole version that is being sent to a neighbour.
type transfer struct {
	to          model.NodeID
	ref         snapshot.Ref
	body        []byte
	index       uint32 // of the next part
	count       uint32 // of parts
	nextPartsAt time.Time
}

func (s *serveState) drop(id model.NodeID) {
	s.active = slices.DeleteFunc(s.active, func(t *transfer) bool { return t.to == id })
	s.queue = slices.DeleteFunc(s.queue, func(w model.NodeID) bool { return w == id })
}

// fetchReceived answers a Fetch with a delta if one starts from a version that
// the peer holds, otherwise with the whole version in parts once it is the
// peer's turn. If this node has no newer version, it answers with an advert.
func (c *Core) fetchReceived(now time.Time, p *peer, m *message.Fetch) {
	p.recordHeld(m.Have)
	c.heldVersions.update(now, p.id().Key(), m.Have.Version)
	c.raiseHead(now, m.Have)
	if !c.held.Ref().Newer(m.Have) {
		c.advertTo(p)
		return
	}
	if c.sendDelta(p, m.Have) {
		return
	}
	for _, version := range m.Recent {
		if c.sendDelta(p, c.history.deltaBase(version)) {
			return
		}
	}
	c.queueFull(now, p.id())
}

// sendDelta sends the delta from a base and reports whether there is one of at
// most Config.MaxDeltaBytes.
func (c *Core) sendDelta(p *peer, base snapshot.Ref) bool {
	b, err := c.history.delta(base)
	if err != nil || b == nil || len(b) > c.cfg.MaxDeltaBytes {
		return false
	}
	c.send(p.id(), message.Normal, &message.Delta{From: base, To: c.held.Ref(), Body: b})
	return true
}

// queueFull queues a peer for a transfer of the whole version, which starts at
// once if there is free capacity. A peer that is queued or already being sent
// this version keeps its place; a transfer of an older version to it ends.
func (c *Core) queueFull(now time.Time, id model.NodeID) {
	if slices.Contains(c.serve.queue, id) {
		return
	}
	for _, t := range c.serve.active {
		if t.to == id && t.ref == c.held.Ref() {
			return
		}
	}
	c.serve.drop(id)
	if len(c.serve.queue) == 0 && len(c.serve.active) < c.cfg.MaxFullTransfers {
		c.startFull(now, id)
		return
	}
	c.serve.queue = append(c.serve.queue, id)
}

func (c *Core) startFull(now time.Time, id model.NodeID) {
	body, err := c.history.encodedFull(c.held)
	if err != nil {
		return
	}
	count := (len(body) + c.cfg.PartBytes - 1) / c.cfg.PartBytes
	t := &transfer{to: id, ref: c.held.Ref(), body: body, count: uint32(count), nextPartsAt: now}
	c.serve.active = append(c.serve.active, t)
}

// serveTimer starts queued transfers, sends the parts that are due and removes
// completed transfers.
func (c *Core) serveTimer(now time.Time) {
	c.startQueued(now)
	for _, t := range c.serve.active {
		if !now.Before(t.nextPartsAt) {
			t.nextPartsAt = now.Add(c.cfg.PartPause)
			c.sendParts(t)
		}
	}
	before := len(c.serve.active)
	c.serve.active = slices.DeleteFunc(c.serve.active, func(t *transfer) bool { return t.index == t.count })
	if len(c.serve.active) < before {
		c.serve.nextStartAt = now.Add(c.jitter(c.cfg.PartPause))
	}
}

func (c *Core) startQueued(now time.Time) {
	for len(c.serve.queue) > 0 && len(c.serve.active) < c.cfg.MaxFullTransfers && !now.Before(c.serve.nextStartAt) {
		id := c.serve.queue[0]
		c.serve.queue = c.serve.queue[1:]
		// The peer may have received the version elsewhere while it was queued.
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
