package distribute

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// maxParts bounds the number of parts of one whole version, and so the memory
// that a faulty peer can make this node allocate.
const maxParts = 4096

// assembly collects the parts of one whole version from a peer.
type assembly struct {
	ref     snapshot.Ref
	parts   [][]byte
	missing int
	size    int // of the parts, in bytes
}

func newAssembly(ref snapshot.Ref, count uint32) *assembly {
	return &assembly{ref: ref, parts: make([][]byte, count), missing: int(count)}
}

// add stores a part and reports whether it is new and within the bounds on
// index and size.
func (a *assembly) add(index uint32, body []byte) bool {
	if int(index) >= len(a.parts) || a.parts[index] != nil || len(body) == 0 {
		return false
	}
	if a.size += len(body); a.size > snapshot.MaxDecoded {
		return false
	}
	a.parts[index] = body
	a.missing--
	return true
}

func (a *assembly) bytes() []byte {
	var b []byte
	for _, p := range a.parts {
		b = append(b, p...)
	}
	return b
}

func (c *Core) deltaReceived(now time.Time, p *peer, m *message.Delta) {
	if !p.fetchPending {
		return
	}
	c.fetchDone(p)
	if !m.To.Newer(c.held.Ref()) {
		return
	}
	base := c.history.base(c.held, m.From)
	if base == nil {
		p.skipUntil = now.Add(c.cfg.FetchTimeout)
		return // the base is no longer held; the next fetch sends the present ones
	}
	s, err := applyDelta(base, m)
	if err != nil {
		p.skipUntil = now.Add(c.cfg.FetchTimeout)
		if !isOutdatedDelta(err) {
			c.reject(now, p.id(), m.To.Version, err)
		}
		return
	}
	c.recordPeerHeld(now, p, m.To)
	c.accept(now, p.id(), s)
}

func applyDelta(base *snapshot.Snapshot, m *message.Delta) (*snapshot.Snapshot, error) {
	d, err := snapshot.DecodeDelta(m.Body)
	if err != nil {
		return nil, err
	}
	s, err := base.Apply(d)
	if err != nil {
		return nil, err
	}
	if s.Ref() != m.To {
		return nil, &snapshot.HashError{Want: m.To, Got: s.Ref()}
	}
	return s, nil
}

func (c *Core) fullReceived(now time.Time, p *peer, m *message.Full) {
	if !p.fetchPending || m.Count == 0 || m.Count > maxParts {
		return
	}
	if !m.Ref.Newer(c.held.Ref()) || c.isRefused(p.id(), m.Ref.Version) {
		return
	}
	if p.parts == nil || p.parts.ref != m.Ref || len(p.parts.parts) != int(m.Count) {
		p.parts = newAssembly(m.Ref, m.Count)
	}
	if !p.parts.add(m.Index, m.Body) {
		return
	}
	if c.fetch.active && c.fetch.source == p.id() {
		c.fetch.deadline = now.Add(c.cfg.FullTimeout)
	}
	if p.parts.missing > 0 {
		return
	}
	b := p.parts.bytes()
	p.parts = nil
	c.fetchDone(p)
	s, err := decodeFull(m.Ref, b)
	if err != nil {
		c.reject(now, p.id(), m.Ref.Version, err)
		return
	}
	c.recordPeerHeld(now, p, m.Ref)
	c.accept(now, p.id(), s)
}

func decodeFull(want snapshot.Ref, b []byte) (*snapshot.Snapshot, error) {
	s, err := snapshot.Decode(b)
	if err != nil {
		return nil, err
	}
	if s.Ref() != want {
		return nil, &snapshot.HashError{Want: want, Got: s.Ref()}
	}
	return s, nil
}

// recordPeerHeld records that a peer holds a version, which it has proved by
// sending it.
func (c *Core) recordPeerHeld(now time.Time, p *peer, ref snapshot.Ref) {
	p.recordHeld(ref)
	c.heldVersions.update(now, p.id().Key(), ref.Version)
}
