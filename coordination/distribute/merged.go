package distribute

import (
	"maps"
	"slices"
)

// mergedChanges collects the changes of several deltas. The last change of each
// name takes effect.
type mergedChanges[E any] struct {
	put map[string]*E
	del map[string]bool
}

func newMergedChanges[E any]() *mergedChanges[E] {
	return &mergedChanges[E]{put: make(map[string]*E), del: make(map[string]bool)}
}

func (m *mergedChanges[E]) add(put map[string]*E, del []string) {
	for name, e := range put {
		m.put[name] = e
		delete(m.del, name)
	}
	for _, name := range del {
		m.del[name] = true
		delete(m.put, name)
	}
}

func (m *mergedChanges[E]) deleted() []string { return slices.Sorted(maps.Keys(m.del)) }
