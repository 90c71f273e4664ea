package endpoint

import (
	"cmp"
	"maps"
	"slices"
	"time"
	"unique"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Table holds the newest record of each node, including tombstones. It updates
// the digest of each zone and the index of the serving records with every
// change. It is not safe for concurrent use: one goroutine owns it and
// publishes a View for the routing of requests.
type Table struct {
	records map[model.NodeID]*entry
	zones   map[model.Zone]*zoneSums
	// serving holds the serving records of each service, sorted by zone, then
	// node.
	serving map[string][]*entry
	// changed is the set of services whose records have changed since view was
	// built.
	changed map[string]struct{}
	view    *View
}

// entry is a record with the hash of its content and the key of its node.
type entry struct {
	Record
	hash uint64
	key  model.NodeKey
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		records: make(map[model.NodeID]*entry),
		zones:   make(map[model.Zone]*zoneSums),
		serving: make(map[string][]*entry),
		changed: make(map[string]struct{}),
		view:    &View{services: make(map[string][]Record)},
	}
}

// Put stores r if the table has no record of its node or r supersedes it, and
// reports whether it stored r.
func (t *Table) Put(r Record) bool {
	e := t.records[r.Node]
	if e != nil && !r.Supersedes(e.Record) {
		return false
	}
	if e == nil {
		e = &entry{key: r.Node.Key()}
		t.records[r.Node] = e
	} else {
		r.Node = e.Node // share the stored copy of the string
		t.unlink(e)
	}
	e.Record = interned(r)
	e.hash = hashOf(&e.Record)
	t.link(e)
	return true
}

// interned returns r with interned zone, region and service names, so that
// records share the memory of equal names.
func interned(r Record) Record {
	r.Zone = unique.Make(r.Zone).Value()
	r.Region = unique.Make(r.Region).Value()
	r.Service = unique.Make(r.Service).Value()
	return r
}

// link adds e to the digests and the index of serving records.
func (t *Table) link(e *entry) {
	if e.Live() {
		z := t.zones[e.Zone]
		if z == nil {
			z = &zoneSums{}
			t.zones[e.Zone] = z
		}
		z.add(e)
	}
	if e.Serving() {
		list := t.serving[e.Service]
		i, _ := slices.BinarySearchFunc(list, e, compareByZone)
		t.serving[e.Service] = slices.Insert(list, i, e)
		t.changed[e.Service] = struct{}{}
	}
}

// unlink removes e from the digests and the index of serving records.
func (t *Table) unlink(e *entry) {
	if e.Live() {
		z := t.zones[e.Zone]
		z.remove(e)
		if len(z.live) == 0 {
			delete(t.zones, e.Zone)
		}
	}
	if !e.Serving() {
		return
	}
	list := t.serving[e.Service]
	i, _ := slices.BinarySearchFunc(list, e, compareByZone)
	list = slices.Delete(list, i, i+1)
	t.changed[e.Service] = struct{}{}
	if len(list) == 0 {
		delete(t.serving, e.Service)
		return
	}
	t.serving[e.Service] = list
}

// compareByZone orders entries by zone, then node.
func compareByZone(a, b *entry) int {
	if c := cmp.Compare(a.Zone, b.Zone); c != 0 {
		return c
	}
	return cmp.Compare(a.Node, b.Node)
}

// Get returns the record of a node and whether there is one.
func (t *Table) Get(id model.NodeID) (Record, bool) {
	e, ok := t.records[id]
	if !ok {
		return Record{}, false
	}
	return e.Record, true
}

// Delete removes a node's record.
func (t *Table) Delete(id model.NodeID) {
	e := t.records[id]
	if e == nil {
		return
	}
	t.unlink(e)
	delete(t.records, id)
}

// Len returns the number of records, including tombstones.
func (t *Table) Len() int { return len(t.records) }

// Each calls f for every record, in no particular order, until f returns false.
// f must neither modify nor retain the record.
func (t *Table) Each(f func(*Record, model.NodeKey) bool) {
	for _, e := range t.records {
		if !f(&e.Record, e.key) {
			return
		}
	}
}

// EachLive calls f for every live record of a zone, in order of key, until f
// returns false. f must neither modify nor retain the record.
func (t *Table) EachLive(zone model.Zone, f func(*Record, model.NodeKey) bool) {
	z := t.zones[zone]
	if z == nil {
		return
	}
	for _, e := range z.live {
		if !f(&e.Record, e.key) {
			return
		}
	}
}

// All returns all records, sorted by node.
func (t *Table) All() []Record {
	all := make([]Record, 0, len(t.records))
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		all = append(all, t.records[id].Record)
	}
	return all
}

// Differing returns the records, including tombstones, of those buckets of a
// zone whose hash differs from the given one, sorted by node. If no hashes are
// given, it returns all records of the zone.
func (t *Table) Differing(zone model.Zone, hashes []uint64) []Record {
	var differs [Buckets]bool
	own := t.zones[zone]
	if own == nil {
		own = &zoneSums{}
	}
	for i := range differs {
		differs[i] = i >= len(hashes) || hashes[i] != own.buckets[i]
	}
	var found []Record
	for _, e := range t.records {
		if e.Zone == zone && differs[BucketOf(e.key)] {
			found = append(found, e.Record)
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return cmp.Compare(a.Node, b.Node) })
	return found
}

// Expire removes the tombstones of nodes that failed or left at least ttl ago.
func (t *Table) Expire(now time.Time, ttl time.Duration) {
	oldest := now.Add(-ttl).Unix()
	for id, e := range t.records {
		if !e.Live() && e.Died <= oldest {
			t.Delete(id)
		}
	}
}
