// Package evacuation holds the operators' orders to evacuate availability zones. The backend
// servers of an evacuated zone get no requests until the order is cancelled.
package evacuation

import (
	"cmp"
	"slices"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Order evacuates a zone or cancels its evacuation.
type Order struct {
	// Zone is the availability zone.
	Zone model.Zone `cbor:"1,keyasint"`
	// Revision is the store's revision of the write; a higher one replaces a lower one.
	Revision uint64 `cbor:"2,keyasint"`
	// Active says that the zone is evacuated; false cancels the evacuation.
	Active bool `cbor:"3,keyasint,omitempty"`
}

// maxZones bounds the memory that orders from other nodes can take.
const maxZones = 256

// Valid reports whether an order is well-formed.
func (o *Order) Valid() bool {
	return o.Zone != "" && len(o.Zone) <= model.MaxNameLength && o.Revision > 0
}

// Table holds the newest order of each zone. It is not safe for concurrent use.
type Table struct{ orders map[model.Zone]Order }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{orders: make(map[model.Zone]Order)} }

// Merge takes over a valid order that is newer than the held one, and reports whether it did.
func (t *Table) Merge(o Order) bool {
	before, held := t.orders[o.Zone]
	if !o.Valid() || held && o.Revision <= before.Revision || !held && len(t.orders) >= maxZones {
		return false
	}
	t.orders[o.Zone] = o
	return true
}

// Get returns the newest order of a zone.
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

// Zones returns the zones that are evacuated, sorted.
func (t *Table) Zones() []model.Zone {
	var zones []model.Zone
	for _, o := range t.All() {
		if o.Active {
			zones = append(zones, o.Zone)
		}
	}
	return zones
}
