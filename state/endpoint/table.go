package endpoint

import (
	"cmp"
	"maps"
	"slices"
	"time"
	"unique"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Table holds the newest record of each node, tombstones included. It keeps
// the digests of each zone and the index of the serving records up to date
// with every change. It is not safe for concurrent use: one goroutine owns it
// and publishes a View for the path of a request.
type Table struct {
	records map[model.NodeID]*entry
	zones   map[model.Zone]*zoneSums
	// serving holds the serving records of each service, in order of zone,
	// then node.
	serving map[string][]*entry
	// changed names the services whose part of the view is out of date.
	changed map[string]struct{}
	view    *View
}

// entry is a record with its hashes.
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

// Put stores r if it supersedes the held record of its node, and reports
// whether it did.
func (t *Table) Put(r Record) bool {
	e := t.records[r.Node]
	if e != nil && !r.Supersedes(e.Record) {
		return false
	}
	if e == nil {
		e = &entry{key: r.Node.Key()}
		t.records[r.Node] = e
	} else {
		r.Node = e.Node // keep one copy of the name
		t.unlink(e)
	}
	e.Record = interned(r)
	e.hash = hashOf(&e.Record)
	t.link(e)
	return true
}

// interned returns r with its repeated names shared with other records.
func interned(r Record) Record {
	r.Zone = unique.Make(r.Zone).Value()
	r.Region = unique.Make(r.Region).Value()
	r.Service = unique.Make(r.Service).Value()
	return r
}

// link enters e into the digests and the index of serving records.
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
		i, _ := slices.BinarySearchFunc(list, e, compareEntries)
		t.serving[e.Service] = slices.Insert(list, i, e)
		t.changed[e.Service] = struct{}{}
	}
}

// unlink undoes link.
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
	i, _ := slices.BinarySearchFunc(list, e, compareEntries)
	list = slices.Delete(list, i, i+1)
	t.changed[e.Service] = struct{}{}
	if len(list) == 0 {
		delete(t.serving, e.Service)
		return
	}
	t.serving[e.Service] = list
}

// compareEntries orders by zone, then node.
func compareEntries(a, b *entry) int {
	if c := cmp.Compare(a.Zone, b.Zone); c != 0 {
		return c
	}
	return cmp.Compare(a.Node, b.Node)
}

// Get returns the record of a node.
func (t *Table) Get(id model.NodeID) (Record, bool) {
	e, ok := t.records[id]
	if !ok {
		return Record{}, false
	}
	return e.Record, true
}

// Delete forgets a node's record.
func (t *Table) Delete(id model.NodeID) {
	e := t.records[id]
	if e == nil {
		return
	}
	t.unlink(e)
	delete(t.records, id)
}

// Len returns the number of records, dead ones included.
func (t *Table) Len() int { return len(t.records) }

// Each calls f for every record in no particular order until f returns false.
// f must neither change nor keep the record.
func (t *Table) Each(f func(*Record, model.NodeKey) bool) {
	for _, e := range t.records {
		if !f(&e.Record, e.key) {
			return
		}
	}
}

// EachLive calls f for every live record of a zone, in order of key, until f
// returns false. f must neither change nor keep the record.
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

// All returns all records in order of node.
func (t *Table) All() []Record {
	all := make([]Record, 0, len(t.records))
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		all = append(all, t.records[id].Record)
	}
	return all
}

// Differing returns the records, tombstones included, of a zone's buckets
// whose hash differs from the given one, in order of node. Without hashes it
// returns all records of the zone.
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

// Expire forgets the tombstones of nodes that died longer than ttl ago.
func (t *Table) Expire(now time.Time, ttl time.Duration) {
	oldest := now.Add(-ttl).Unix()
	for id, e := range t.records {
		if !e.Live() && e.Died <= oldest {
			t.Delete(id)
		}
	}
}
