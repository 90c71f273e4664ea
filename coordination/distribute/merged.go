package distribute

import (
	"maps"
	"slices"
)

// merged collects the changes of several deltas: the last change of each name
// counts.
type merged[E any] struct {
	put map[string]*E
	del map[string]bool
}

func newMerged[E any]() *merged[E] {
	return &merged[E]{put: make(map[string]*E), del: make(map[string]bool)}
}

func (m *merged[E]) add(put map[string]*E, del []string) {
	for name, e := range put {
		m.put[name] = e
		delete(m.del, name)
	}
	for _, name := range del {
		m.del[name] = true
		delete(m.put, name)
	}
}

func (m *merged[E]) deleted() []string { return slices.Sorted(maps.Keys(m.del)) }
