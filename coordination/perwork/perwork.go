// Package perwork keeps a value for each sort of work that a node sees.
package perwork

import (
	"sync/atomic"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Most bounds the sorts that are told apart: a configuration has a few, but
// other nodes name them. Those beyond share one value for each kind.
const Most = 64

// Map holds a value for each sort of work. The zero Map is empty. It is safe for
// concurrent use; reading a value that exists takes no lock.
type Map[V any] struct {
	values atomic.Pointer[map[model.Work]*V]
}

// Of returns the value of a sort, which is new and zero at its first use.
func (m *Map[V]) Of(w model.Work) *V {
	if values := m.values.Load(); values != nil {
		if v := (*values)[w]; v != nil {
			return v
		}
	}
	return m.add(w)
}

// add puts a new sort into a copy of the map and swaps it in.
func (m *Map[V]) add(w model.Work) *V {
	for {
		old := m.values.Load()
		grown := make(map[model.Work]*V)
		m.Each(func(k model.Work, v *V) { grown[k] = v })
		if grown[w] == nil && len(grown) >= Most {
			w = model.Work{Kind: known(w.Kind)}
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

// Each calls f for each sort seen so far.
func (m *Map[V]) Each(f func(model.Work, *V)) {
	if values := m.values.Load(); values != nil {
		for k, v := range *values {
			f(k, v)
		}
	}
}

// known bounds the kinds that share a value.
func known(kind model.ClassKind) model.ClassKind {
	switch kind {
	case model.KindInteractive, model.KindNonRepeatable, model.KindUpload, model.KindBulk:
		return kind
	}
	return model.KindEventual
}
