package distribute

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// heldVersionsCheckInterval is the time between two searches for expired
// records.
const heldVersionsCheckInterval = time.Minute

// heldVersions records the newest version that each other node has held, so
// that a node can be sent its own after a restart. Records outlive connections.
type heldVersions struct {
	nodes       map[model.NodeKey]heldVersion
	ttl         time.Duration
	maxNodes    int
	nextCheckAt time.Time
}

// heldVersion is the record of one node.
type heldVersion struct {
	version    uint64
	recordedAt time.Time
}

func newHeldVersions(cfg Config) heldVersions {
	return heldVersions{nodes: make(map[model.NodeKey]heldVersion), ttl: cfg.RememberFor, maxNodes: cfg.MaxRemembered}
}

// version returns the newest version that a node has held, or 0 without a
// record.
func (m *heldVersions) version(k model.NodeKey) uint64 { return m.nodes[k].version }

// update records that a node held a version. An older version than the recorded
// one only renews the record.
func (m *heldVersions) update(now time.Time, k model.NodeKey, version uint64) {
	r, known := m.nodes[k]
	version = max(version, r.version)
	if version == 0 {
		return
	}
	if !known && len(m.nodes) >= m.maxNodes {
		m.dropOldest()
	}
	m.nodes[k] = heldVersion{version: version, recordedAt: now}
}

func (m *heldVersions) dropOldest() {
	var oldest model.NodeKey
	var at time.Time
	for k, r := range m.nodes {
		if at.IsZero() || r.recordedAt.Before(at) || (r.recordedAt.Equal(at) && k < oldest) {
			oldest, at = k, r.recordedAt
		}
	}
	delete(m.nodes, oldest)
}

// expire drops the records of nodes that have not been seen for ttl. Those of
// connected nodes stay.
func (m *heldVersions) expire(now time.Time, connected map[model.NodeID]*peer) {
	if now.Before(m.nextCheckAt) {
		return
	}
	m.nextCheckAt = now.Add(heldVersionsCheckInterval)
	for id, p := range connected {
		m.update(now, id.Key(), p.held.Version)
	}
	for k, r := range m.nodes {
		if now.Sub(r.recordedAt) > m.ttl {
			delete(m.nodes, k)
		}
	}
}
