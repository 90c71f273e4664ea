package distribute

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// memoryCheck is the time between two searches for what is too old.
const memoryCheck = time.Minute

// memory remembers which version other nodes held, so that a node that
// restarts can be told. It outlives connections.
type memory struct {
	nodes     map[model.NodeKey]remembered
	keep      time.Duration
	limit     int
	nextCheck time.Time
}

type remembered struct {
	version uint64
	at      time.Time
}

func newMemory(cfg Config) memory {
	return memory{nodes: make(map[model.NodeKey]remembered), keep: cfg.RememberFor, limit: cfg.MaxRemembered}
}

func (m *memory) version(k model.NodeKey) uint64 { return m.nodes[k].version }

// heard notes that a node held a version. An older version than the one noted
// only renews the note.
func (m *memory) heard(now time.Time, k model.NodeKey, version uint64) {
	r, known := m.nodes[k]
	version = max(version, r.version)
	if version == 0 {
		return
	}
	if !known && len(m.nodes) >= m.limit {
		m.dropOldest()
	}
	m.nodes[k] = remembered{version: version, at: now}
}

func (m *memory) dropOldest() {
	var oldest model.NodeKey
	var at time.Time
	for k, r := range m.nodes {
		if at.IsZero() || r.at.Before(at) || (r.at.Equal(at) && k < oldest) {
			oldest, at = k, r.at
		}
	}
	delete(m.nodes, oldest)
}

// expire forgets nodes not heard of for long; connected ones stay.
func (m *memory) expire(now time.Time, connected map[model.NodeID]*peer) {
	if now.Before(m.nextCheck) {
		return
	}
	m.nextCheck = now.Add(memoryCheck)
	for id, p := range connected {
		m.heard(now, id.Key(), p.held.Version)
	}
	for k, r := range m.nodes {
		if now.Sub(r.at) > m.keep {
			delete(m.nodes, k)
		}
	}
}
