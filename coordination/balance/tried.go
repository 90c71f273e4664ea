package balance

import (
	"slices"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// maxTried bounds the number of nodes that a Tried excludes; a request is retried fewer
// times than that.
const maxTried = 4

// Tried is the set of servers that are excluded for a request: those it has tried in vain,
// those of a zone to avoid, and those outside its allowed regions. The zero value excludes
// nothing. It is not safe for concurrent use: each request has its own.
type Tried struct {
	nodes [maxTried]model.NodeID
	count int
	zone  model.Zone
	// regions holds lists of allowed regions. A server's region must be in each list that
	// isn't empty.
	regions [2][]model.Region
}

// Add excludes a node. Beyond four nodes, a new one replaces the oldest.
func (t *Tried) Add(id model.NodeID) {
	t.nodes[t.count%maxTried] = id
	t.count++
}

// Remove ends the exclusion of a node.
func (t *Tried) Remove(id model.NodeID) {
	for i := range t.nodes {
		if t.nodes[i] == id {
			t.nodes[i] = ""
		}
	}
}

// AvoidZone excludes all servers of a zone and replaces the zone excluded before. The empty
// zone excludes none.
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

// excludes reports whether a server is excluded. A nil *Tried excludes none.
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
