package balance

import (
	"slices"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// maxExcluded bounds the number of nodes that are excluded for a request. A request is retried
// fewer times than that.
const maxExcluded = 4

// Exclusions determines which servers are excluded for a request: those it has tried in vain,
// those in a zone to avoid, and those outside its allowed regions. The zero value excludes
// none. It is not safe for concurrent use: each request has its own.
type Exclusions struct {
	nodes [maxExcluded]model.NodeID
	count int
	zone  model.Zone
	// regions holds lists of allowed regions. A server's region must be in each list that
	// isn't empty.
	regions [2][]model.Region
}

// Add excludes a node. Beyond four nodes, a new one replaces the oldest.
func (e *Exclusions) Add(id model.NodeID) {
	e.nodes[e.count%maxExcluded] = id
	e.count++
}

// Remove ends the exclusion of a node.
func (e *Exclusions) Remove(id model.NodeID) {
	for i := range e.nodes {
		if e.nodes[i] == id {
			e.nodes[i] = ""
		}
	}
}

// AvoidZone excludes all servers of a zone and replaces the zone excluded before. The empty
// zone excludes none.
func (e *Exclusions) AvoidZone(z model.Zone) { e.zone = z }

// Confine excludes the servers whose region isn't in both lists. An empty list allows all
// regions.
func (e *Exclusions) Confine(a, b []model.Region) { e.regions = [2][]model.Region{a, b} }

// Confined reports whether servers are excluded by region.
func (e *Exclusions) Confined() bool { return len(e.regions[0]) > 0 || len(e.regions[1]) > 0 }

// Len returns the number of nodes added.
func (e *Exclusions) Len() int {
	if e == nil {
		return 0
	}
	return e.count
}

// excludes reports whether a server is excluded. A nil *Exclusions excludes none.
func (e *Exclusions) excludes(r *endpoint.Record) bool {
	if e == nil {
		return false
	}
	if e.zone != "" && e.zone == r.Zone {
		return true
	}
	for _, allowed := range e.regions {
		if len(allowed) > 0 && !slices.Contains(allowed, r.Region) {
			return true
		}
	}
	for i := range min(e.count, maxExcluded) {
		if e.nodes[i] == r.Node {
			return true
		}
	}
	return false
}
