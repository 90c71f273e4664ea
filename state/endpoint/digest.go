package endpoint

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Buckets is the number of buckets into which a zone's records are divided by
// the hash of their node. Anti-entropy compares the hashes of the buckets and
// exchanges only the records of those that differ, so that tables with few
// differences exchange few records.
const Buckets = 64

// ZoneHash is the hash of the live records of one availability zone, used to
// find the zones in which two tables differ.
type ZoneHash struct {
	// Zone is the availability zone.
	Zone model.Zone
	// Hash is the sum of the records' hashes, modulo 2^64.
	Hash uint64
}

// zoneSums holds the live records of one zone and the sums of their hashes. A
// sum doesn't depend on the order of the records and can be updated by one
// addition or subtraction when a record is added or removed.
type zoneSums struct {
	live    []*entry // sorted by key, then node
	total   uint64
	buckets [Buckets]uint64
}

func (z *zoneSums) add(e *entry) {
	i, _ := slices.BinarySearchFunc(z.live, e, compareByKey)
	z.live = slices.Insert(z.live, i, e)
	z.total += e.hash
	z.buckets[BucketOf(e.key)] += e.hash
}

func (z *zoneSums) remove(e *entry) {
	i, _ := slices.BinarySearchFunc(z.live, e, compareByKey)
	z.live = slices.Delete(z.live, i, i+1)
	z.total -= e.hash
	z.buckets[BucketOf(e.key)] -= e.hash
}

func compareByKey(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.Node, b.Node))
}

// BucketOf returns the index of the bucket that contains a node's record within
// its zone.
func BucketOf(k model.NodeKey) int { return int(k % Buckets) }

// Digest returns the hash of each zone with a live record, sorted by zone. Its
// cost depends on the number of zones, not on the number of records. Tombstones
// are not included: each node expires them independently, and a table that
// lacks a tombstone differs by the live record that it still holds.
func (t *Table) Digest() []ZoneHash {
	d := make([]ZoneHash, 0, len(t.zones))
	for _, z := range slices.Sorted(maps.Keys(t.zones)) {
		d = append(d, ZoneHash{Zone: z, Hash: t.zones[z].total})
	}
	return d
}

// ZoneHash returns the hash of one zone's live records; 0 if it has none.
func (t *Table) ZoneHash(zone model.Zone) uint64 {
	if z := t.zones[zone]; z != nil {
		return z.total
	}
	return 0
}

// BucketHashes returns the hashes of a zone's buckets, or nil if the zone has
// no live record.
func (t *Table) BucketHashes(zone model.Zone) []uint64 {
	z := t.zones[zone]
	if z == nil {
		return nil
	}
	return slices.Clone(z.buckets[:])
}

// hashBufferSize is the size in bytes of the buffer into which hashOf encodes a
// record's fields. A longer record is hashed as well, but needs an allocation.
const hashBufferSize = 320

// hashOf returns the hash of the fields that belong to the record's content.
func hashOf(r *Record) uint64 {
	var buf [hashBufferSize]byte
	b := buf[:0]
	b = appendText(b, string(r.Node))
	b = appendText(b, string(r.Zone))
	b = appendText(b, string(r.Region))
	b = appendText(b, r.PeerAddr)
	b = appendText(b, r.GateAddr)
	b = appendText(b, r.Service)
	b = appendText(b, r.Instance)
	b = binary.AppendUvarint(b, r.Incarnation)
	b = binary.AppendUvarint(b, r.Sequence)
	b = binary.AppendVarint(b, int64(r.Slots))
	b = binary.AppendVarint(b, int64(r.Connections))
	b = append(b, byte(r.Status), boolByte(r.Draining), boolByte(r.Unready))
	if r.Cold {
		b = append(b, 1) // appended only if set, so that other records have the same hash as on older nodes
	}
	return xxhash.Sum64(b)
}

func appendText(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}
