// Package perwork provides a map that holds a value for each workload (model.Work) that a node
// sees.
package perwork

import (
	"sync/atomic"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// MaxWorkloads limits the workloads with a value of their own: a configuration has only a few, but
// they come from other nodes, which may send any. Workloads beyond the limit share one value per
// kind.
const MaxWorkloads = 64

// Map holds a value for each workload. The zero Map is empty and ready to use. It is safe for
// concurrent use; reading an existing value takes no lock.
type Map[V any] struct {
	values atomic.Pointer[map[model.Work]*V]
}

// Of returns the value of a workload. The first call creates it as a zero value.
func (m *Map[V]) Of(w model.Work) *V {
	if values := m.values.Load(); values != nil {
		if v := (*values)[w]; v != nil {
			return v
		}
	}
	return m.add(w)
}

// add adds a workload to a copy of the map and swaps the copy in.
func (m *Map[V]) add(w model.Work) *V {
	for {
		old := m.values.Load()
		grown := make(map[model.Work]*V)
		m.Each(func(k model.Work, v *V) { grown[k] = v })
		if grown[w] == nil && len(grown) >= MaxWorkloads {
			w = model.Work{Kind: sharedKind(w.Kind)}
		}
		if v := grown[w]; v != nil {
			return v
		}
		grown[w] = new(V)
		if m.values.CompareAndSwap(old, &grown) {
			return grown[w]
		}
	}
}

// Each calls f for each workload that has a value.
func (m *Map[V]) Each(f func(model.Work, *V)) {
	if values := m.values.Load(); values != nil {
		for k, v := range *values {
			f(k, v)
		}
	}
}

// sharedKind returns the kind whose shared value a workload of the given kind uses. It maps unknown
// kinds to KindEventual, so that their number stays bounded.
func sharedKind(kind model.ClassKind) model.ClassKind {
	switch kind {
	case model.KindInteractive, model.KindNonRepeatable, model.KindUpload, model.KindBulk:
		return kind
	}
	return model.KindEventual
}
