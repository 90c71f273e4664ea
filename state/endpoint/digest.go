package endpoint

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Buckets is the number of parts into which a zone's records are divided by
// the hash of their node, so that two tables that differ little exchange
// little.
const Buckets = 64

// ZoneHash is the hash of the live records of one zone.
type ZoneHash struct {
	// Zone is the availability zone.
	Zone model.Zone
	// Hash is the sum of the records' hashes.
	Hash uint64
}

// zoneSums holds the sums of the hashes of a zone's live records. Sums don't
// depend on order and are kept up to date by one addition for each change.
type zoneSums struct {
	live    []*entry // in order of key, then node
	total   uint64
	buckets [Buckets]uint64
}

func (z *zoneSums) add(e *entry) {
	i, _ := slices.BinarySearchFunc(z.live, e, compareKeys)
	z.live = slices.Insert(z.live, i, e)
	z.total += e.hash
	z.buckets[BucketOf(e.key)] += e.hash
}

func (z *zoneSums) remove(e *entry) {
	i, _ := slices.BinarySearchFunc(z.live, e, compareKeys)
	z.live = slices.Delete(z.live, i, i+1)
	z.total -= e.hash
	z.buckets[BucketOf(e.key)] -= e.hash
}

func compareKeys(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.Node, b.Node))
}

// BucketOf returns the bucket of a node's record within its zone.
func BucketOf(k model.NodeKey) int { return int(k % Buckets) }

// Digest returns the hash of each zone with a live record, in order of zone.
// Its cost depends on the number of zones, not of records. Tombstones are left
// out: they expire at each node by itself, and a table that lost one differs
// by the live record it holds instead.
func (t *Table) Digest() []ZoneHash {
	d := make([]ZoneHash, 0, len(t.zones))
	for _, z := range slices.Sorted(maps.Keys(t.zones)) {
		d = append(d, ZoneHash{Zone: z, Hash: t.zones[z].total})
	}
	return d
}

// ZoneHash returns the hash of one zone's live records; 0 for none.
func (t *Table) ZoneHash(zone model.Zone) uint64 {
	if z := t.zones[zone]; z != nil {
		return z.total
	}
	return 0
}

// BucketHashes returns the hashes of the buckets of one zone, or nil when it
// has no live record.
func (t *Table) BucketHashes(zone model.Zone) []uint64 {
	z := t.zones[zone]
	if z == nil {
		return nil
	}
	return slices.Clone(z.buckets[:])
}

// hashBuffer is the size of the buffer for one record's fields. Longer records
// are hashed as well, at the price of an allocation.
const hashBuffer = 320

// hashOf returns the hash of every field that belongs to the record's content.
func hashOf(r *Record) uint64 {
	var buf [hashBuffer]byte
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
	b = append(b, byte(r.Status), flag(r.Draining), flag(r.Unready))
	if r.Cold {
		b = append(b, 1) // appended only if set, so that the hash matches that of older nodes otherwise
	}
	return xxhash.Sum64(b)
}

func appendText(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func flag(v bool) byte {
	if v {
		return 1
	}
	return 0
}
