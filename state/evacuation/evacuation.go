// Package evacuation holds the operators' orders to evacuate availability zones. No requests
// are sent to the backend servers of an evacuated zone until the order is cancelled.
package evacuation

import (
	"cmp"
	"slices"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Order is an operator's order to evacuate an availability zone or to cancel its evacuation.
type Order struct {
	// Zone is the availability zone.
	Zone model.Zone `cbor:"1,keyasint"`
	// Revision is the revision that the store assigned to the write of the order. An order with
	// a higher revision replaces one with a lower revision.
	Revision uint64 `cbor:"2,keyasint"`
	// Active is true to evacuate the zone and false to cancel the evacuation.
	Active bool `cbor:"3,keyasint,omitempty"`
}

// maxZones is the maximum number of zones in a Table. It limits the memory for orders received
// from other nodes.
const maxZones = 256

// Valid reports whether an order is well-formed.
func (o *Order) Valid() bool {
	return o.Zone != "" && model.ReadableText(string(o.Zone), model.MaxNameLength) && o.Revision > 0
}

// Table holds the newest order of each zone. It is not safe for concurrent use.
type Table struct{ orders map[model.Zone]Order }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{orders: make(map[model.Zone]Order)} }

// Merge stores an order if it is valid and newer than the stored order of its zone, and reports
// whether it did. It rejects the first order of a zone if the table is full.
func (t *Table) Merge(o Order) bool {
	current, held := t.orders[o.Zone]
	if !o.Valid() || held && o.Revision <= current.Revision || !held && len(t.orders) >= maxZones {
		return false
	}
	t.orders[o.Zone] = o
	return true
}

// Get returns the newest order of a zone and whether there is one.
func (t *Table) Get(zone model.Zone) (Order, bool) {
	o, ok := t.orders[zone]
	return o, ok
}

// Active reports whether a zone is evacuated.
func (t *Table) Active(zone model.Zone) bool { return t.orders[zone].Active }

// All returns all orders, sorted by zone.
func (t *Table) All() []Order {
	all := make([]Order, 0, len(t.orders))
	for _, o := range t.orders {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b Order) int { return cmp.Compare(a.Zone, b.Zone) })
	return all
}

// Zones returns the names of the evacuated zones, sorted.
func (t *Table) Zones() []model.Zone {
	var zones []model.Zone
	for _, o := range t.All() {
		if o.Active {
			zones = append(zones, o.Zone)
		}
	}
	return zones
}
