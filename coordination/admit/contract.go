package admit

import (
	"strings"

	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// organisation is one contract prepared for admission. It is immutable; the limits
// it points to are the state.
type organisation struct {
	contract *model.Contract
	limit    *limit
	classes  map[string]*class
	reserve  int // sum of the classes' reserves
}

// class is one class of an organisation.
type class struct {
	class *model.Class
	limit *limit
}

// limited reports whether the class has a fleet-wide limit of its own.
func (k *class) limited() bool { return k.class.Rate != nil || k.class.Concurrency > 0 }

// Update builds the limits of a snapshot's contracts and swaps them in at
// once. Limits that stay keep their state. Call it before the snapshot itself
// is put into use.
func (l *Limiter) Update(s *snapshot.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := *l.organisations.Load()
	names := s.Organisations()
	next := make(map[string]*organisation, len(names))
	for _, name := range names {
		next[name] = prepare(s.Contract(name).Contract, old[name])
	}
	l.organisations.Store(&next)
}

func prepare(c *model.Contract, old *organisation) *organisation {
	if old != nil && old.contract == c {
		return old
	}
	n := &organisation{contract: c, classes: make(map[string]*class, len(c.Classes))}
	if old != nil {
		n.limit = old.limit
	} else {
		n.limit = newLimit(c.Organisation)
	}
	for i := range c.Classes {
		k := &c.Classes[i]
		n.reserve += k.Reserve
		n.classes[k.Name] = &class{class: k, limit: classLimit(c, k, old)}
	}
	return n
}

func classLimit(c *model.Contract, k *model.Class, old *organisation) *limit {
	if old != nil {
		if was := old.classes[k.Name]; was != nil {
			return was.limit
		}
	}
	return newLimit(LimitName(c.Organisation, k.Name))
}

// LimitName returns the name of a class's limit in demand and shares. An
// organisation's own limit has the organisation's name.
func LimitName(organisation, class string) string { return organisation + "/" + class }

func cutLimit(name string) (organisation, class string, isClass bool) {
	return strings.Cut(name, "/")
}
