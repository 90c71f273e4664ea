package admit

import (
	"strings"

	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// organisation is one organisation's contract, prepared for admission. It is
// immutable; the limits that it points to hold the state.
type organisation struct {
	contract *model.Contract
	limit    *limit
	classes  map[string]*class
	reserve  int // sum of the classes' reserves, in requests in flight
}

// class is one class of an organisation's contract with the state of its limit.
type class struct {
	class *model.Class
	limit *limit
}

// hasOwnLimit reports whether the class has a fleet-wide limit of its own.
func (k *class) hasOwnLimit() bool { return k.class.Rate != nil || k.class.Concurrency > 0 }

// Update builds the limits of the snapshot's contracts and replaces the current
// ones atomically. A limit that exists in both keeps its state. Call it before
// the snapshot itself is put into use.
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

// prepare returns the contract prepared for admission. old is the organisation's
// entry so far, or nil; its limits are reused, and it is returned as it is when the
// contract has not changed.
func prepare(c *model.Contract, old *organisation) *organisation {
	if old != nil && old.contract == c {
		return old
	}
	next := &organisation{contract: c, classes: make(map[string]*class, len(c.Classes))}
	if old != nil {
		next.limit = old.limit
	} else {
		next.limit = newLimit(c.Organisation)
	}
	for i := range c.Classes {
		k := &c.Classes[i]
		next.reserve += k.Reserve
		next.classes[k.Name] = &class{class: k, limit: classLimit(c, k, old)}
	}
	return next
}

// classLimit returns the limit that the class had in old, or a new one.
func classLimit(c *model.Contract, k *model.Class, old *organisation) *limit {
	if old != nil {
		if previous := old.classes[k.Name]; previous != nil {
			return previous.limit
		}
	}
	return newLimit(LimitName(c.Organisation, k.Name))
}

// LimitName returns the name that identifies a class's limit in Demand, SetShare
// and ClearShare. An organisation's own limit has the organisation's name.
func LimitName(organisation, class string) string { return organisation + "/" + class }

// splitLimitName is the inverse of LimitName; isClass is false for the name of an
// organisation's own limit.
func splitLimitName(name string) (organisation, class string, isClass bool) {
	return strings.Cut(name, "/")
}
