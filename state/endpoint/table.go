package endpoint

import (
	"maps"
	"slices"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Table holds the newest record of each node. It is not safe for concurrent
// use: one goroutine owns it and publishes a View for the path of a request.
type Table struct {
	records map[model.NodeID]Record
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[model.NodeID]Record)}
}

// Put stores r if it supersedes the held record of its node, and reports
// whether it did.
func (t *Table) Put(r Record) bool {
	if old, held := t.records[r.Node]; held && !r.Supersedes(old) {
		return false
	}
	t.records[r.Node] = r
	return true
}

// Get returns the record of a node.
func (t *Table) Get(id model.NodeID) (Record, bool) {
	r, ok := t.records[id]
	return r, ok
}

// Delete forgets a node's record.
func (t *Table) Delete(id model.NodeID) { delete(t.records, id) }

// Len returns the number of records, dead ones included.
func (t *Table) Len() int { return len(t.records) }

// All returns all records in order of node.
func (t *Table) All() []Record {
	all := make([]Record, 0, len(t.records))
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		all = append(all, t.records[id])
	}
	return all
}

// View is an immutable index of the records that may serve, by service. The
// path of a request reads it through an atomic pointer.
type View struct {
	services map[string][]Record
}

// View returns the index of the records that are Serving.
func (t *Table) View() *View {
	v := &View{services: make(map[string][]Record)}
	for _, r := range t.All() {
		if r.Serving() {
			v.services[r.Service] = append(v.services[r.Service], r)
		}
	}
	return v
}

// Service returns the serving records of a service in order of node. The
// result must not be changed.
func (v *View) Service(name string) []Record { return v.services[name] }

// Services returns the names of the services with a serving record, sorted.
func (v *View) Services() []string { return slices.Sorted(maps.Keys(v.services)) }
