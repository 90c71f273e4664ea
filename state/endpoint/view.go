package endpoint

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// View is an immutable index of the serving records by service and zone. The
// routing of requests reads it through an atomic pointer.
type View struct {
	services map[string][]Record
}

// Changed reports whether the serving records have changed since the last call
// of View.
func (t *Table) Changed() bool { return len(t.changed) > 0 }

// View returns the index of the records that are Serving. It rebuilds only the
// services that have changed since the last call; the others share their
// records with the previous view.
func (t *Table) View() *View {
	if !t.Changed() {
		return t.view
	}
	v := &View{services: make(map[string][]Record, len(t.serving))}
	maps.Copy(v.services, t.view.services)
	for name := range t.changed {
		v.rebuild(name, t.serving[name])
	}
	clear(t.changed)
	t.view = v
	return v
}

// rebuild replaces the records of one service.
func (v *View) rebuild(name string, list []*entry) {
	if len(list) == 0 {
		delete(v.services, name)
		return
	}
	recs := make([]Record, len(list))
	for i, e := range list {
		recs[i] = e.Record
	}
	v.services[name] = recs
}

// Service returns the serving records of a service, sorted by zone, then node.
// The result must not be modified.
func (v *View) Service(name string) []Record { return v.services[name] }

// ServiceInZone returns the serving records of a service in one zone, sorted by
// node. The result must not be modified.
func (v *View) ServiceInZone(name string, zone model.Zone) []Record {
	all := v.services[name]
	from, _ := slices.BinarySearchFunc(all, zone, compareToZone)
	to := from
	for to < len(all) && all[to].Zone == zone {
		to++
	}
	return all[from:to:to]
}

// WithoutZones returns the view without the records of the given zones. Services
// that have no record in these zones share their records with v.
func (v *View) WithoutZones(zones []model.Zone) *View {
	if len(zones) == 0 {
		return v
	}
	return v.Without(func(r Record) bool { return slices.Contains(zones, r.Zone) })
}

// Without returns the view without the records for which excluded returns true. Services that
// have no such record share their records with v.
func (v *View) Without(excluded func(Record) bool) *View {
	filtered := &View{services: make(map[string][]Record, len(v.services))}
	for name, all := range v.services {
		switch {
		case !slices.ContainsFunc(all, excluded):
			filtered.services[name] = all
		default:
			if rest := slices.DeleteFunc(slices.Clone(all), excluded); len(rest) > 0 {
				filtered.services[name] = rest
			}
		}
	}
	return filtered
}

func compareToZone(r Record, z model.Zone) int { return cmp.Compare(r.Zone, z) }

// Services returns the names of the services with a serving record, sorted.
func (v *View) Services() []string { return slices.Sorted(maps.Keys(v.services)) }
