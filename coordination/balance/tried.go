package balance

import (
	"slices"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// maxTried bounds the servers that a request remembers; retries are fewer.
const maxTried = 4

// Tried is what a request has tried in vain. The zero value is empty. It is
// not safe for concurrent use: each request has its own.
type Tried struct {
	nodes [maxTried]model.NodeID
	count int
	zone  model.Zone
	// regions are lists of allowed regions. A server's region must be in each list that isn't
	// empty.
	regions [2][]model.Region
}

// Add excludes a node. Beyond four nodes the oldest is forgotten.
func (t *Tried) Add(id model.NodeID) {
	t.nodes[t.count%maxTried] = id
	t.count++
}

// Remove lets a node be picked again.
func (t *Tried) Remove(id model.NodeID) {
	for i := range t.nodes {
		if t.nodes[i] == id {
			t.nodes[i] = ""
		}
	}
}

// AvoidZone excludes all servers of a zone, in place of an earlier zone. Empty
// excludes none.
func (t *Tried) AvoidZone(z model.Zone) { t.zone = z }

// Confine excludes the servers whose region isn't in both lists. An empty list allows all
// regions.
func (t *Tried) Confine(a, b []model.Region) { t.regions = [2][]model.Region{a, b} }

// Confined reports whether servers are excluded by region.
func (t *Tried) Confined() bool { return len(t.regions[0]) > 0 || len(t.regions[1]) > 0 }

// Len returns the number of nodes added.
func (t *Tried) Len() int {
	if t == nil {
		return 0
	}
	return t.count
}

func (t *Tried) excludes(r *endpoint.Record) bool {
	if t == nil {
		return false
	}
	if t.zone != "" && t.zone == r.Zone {
		return true
	}
	for _, allowed := range t.regions {
		if len(allowed) > 0 && !slices.Contains(allowed, r.Region) {
			return true
		}
	}
	for i := range min(t.count, maxTried) {
		if t.nodes[i] == r.Node {
			return true
		}
	}
	return false
}
