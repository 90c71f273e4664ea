package headpack

import (
	"bytes"
	"hash/maphash"
	"strings"

	"golang.org/x/net/http2/hpack"
)

// Names of the HPACK fields that carry the parts of a message's first line. They
// can't collide with a header: splitHead rejects header names that begin with a
// colon.
const (
	fieldMethod = ":m"
	fieldDir    = ":d" // the path up to its last slash, which requests of a route share
	fieldRest   = ":r" // the rest of the path, and the query
	fieldStatus = ":s" // status code and text
)

const (
	version  = "HTTP/1.1"
	lineEnd  = "\r\n"
	headEnd  = "\r\n\r\n"
	valueSep = ": "
)

// tableBytes is the size of the HPACK dynamic table at either end of a connection,
// in bytes. The hosts, routes, services and instances of a fleet are some 60
// fields of 70 bytes.
const tableBytes = 4 << 10

// entryOverhead is the size that HPACK adds to the name and value of a table entry,
// in bytes (RFC 7541, section 4.1).
const entryOverhead = 32

const (
	// recentValues is the number of distinct recent values of a field name with
	// which a new value is compared: callers of a host use a handful of routes.
	recentValues = 8
	// maxTrackedNames bounds the field names that an encoder tracks; fields with
	// other names are sent in full.
	maxTrackedNames = 64
)

// recentValue is a recent value of a field name, identified by its hash.
type recentValue struct {
	hash       uint64
	insertedAt int // e.inserted just before its last insertion into the table
}

// nameHistory holds the recent values of a field name and how often they repeat.
// The encoder uses it to decide which fields to insert into the dynamic table.
type nameHistory struct {
	insertedAt int // e.inserted just before its last insertion into the table
	recent     [recentValues]recentValue
	next       int // new values so far; modulo recentValues the next index in recent
	seen       int // values recorded
	hits       int // recorded values that were among the recent ones
}

// neverInserted is the insertion point of a name or value that was never inserted:
// inTable is false for it.
const neverInserted = -tableBytes - 1

// encoder encodes the heads that a connection sends as HPACK blocks. It is not safe
// for concurrent use.
type encoder struct {
	out      bytes.Buffer
	hpack    *hpack.Encoder
	seed     maphash.Seed
	names    map[string]*nameHistory
	inserted int // total size of the entries inserted into the table so far, in bytes
}

func newEncoder() *encoder {
	e := &encoder{seed: maphash.MakeSeed(), names: make(map[string]*nameHistory)}
	e.hpack = hpack.NewEncoder(&e.out)
	e.hpack.SetMaxDynamicTableSizeLimit(tableBytes)
	e.hpack.SetMaxDynamicTableSize(tableBytes)
	return e
}

// encode returns the HPACK block of a head; the block is valid until the next call.
// It returns false and encodes nothing if decoding would not restore the head
// byte for byte.
func (e *encoder) encode(head string) ([]byte, bool) {
	fields, ok := splitHead(head)
	if !ok {
		return nil, false
	}
	e.out.Reset()
	for _, f := range fields {
		f.Sensitive = !e.chooseIndexing(f)
		_ = e.hpack.WriteField(f) // writing to a bytes.Buffer can't fail
	}
	return e.out.Bytes(), true
}

// chooseIndexing records a field and reports whether HPACK may index it. A field is
// inserted into the dynamic table if the table has no entry inserted for its name,
// or if its value repeats and at least half of the name's values have done so:
// otherwise ids and paths would evict the fields that repeat. The result is also
// true for a field that the table holds already; HPACK then only refers to it.
// Fields larger than a quarter of the table, and those whose name isn't tracked,
// are never indexed.
func (e *encoder) chooseIndexing(f hpack.HeaderField) bool {
	size := len(f.Name) + len(f.Value) + entryOverhead
	n := e.names[f.Name]
	if size > tableBytes/4 || (n == nil && len(e.names) >= maxTrackedNames) {
		return false
	}
	if n == nil {
		n = &nameHistory{insertedAt: neverInserted}
		e.names[f.Name] = n
	}
	v, repeats := n.recordValue(maphash.String(e.seed, f.Value))
	switch {
	case e.inTable(v.insertedAt):
		return true
	case e.inTable(n.insertedAt) && !(repeats && 2*n.hits >= n.seen):
		return false
	}
	v.insertedAt, n.insertedAt = e.inserted, e.inserted
	e.inserted += size
	return true
}

// inTable reports whether the table still holds the entry inserted at the given
// point (the value of e.inserted just before). A full table evicts its oldest
// entries.
func (e *encoder) inTable(at int) bool { return e.inserted-at <= tableBytes }

// recordValue records the hash of a value. It returns the entry of the value among
// the recent ones, and whether the value was there already.
func (n *nameHistory) recordValue(hash uint64) (*recentValue, bool) {
	n.seen++
	for i := range n.recent {
		if v := &n.recent[i]; v.hash == hash && i < n.next {
			n.hits++
			return v, true
		}
	}
	v := &n.recent[n.next%recentValues]
	*v = recentValue{hash: hash, insertedAt: neverInserted}
	n.next++
	return v, false
}

// splitHead splits a head, including the empty line at its end, into HPACK fields.
// It returns false if a decoder would not restore the same bytes.
func splitHead(head string) ([]hpack.HeaderField, bool) {
	line, rest, ok := strings.Cut(strings.TrimSuffix(head, lineEnd), lineEnd)
	if !ok {
		return nil, false
	}
	fields := make([]hpack.HeaderField, 0, 16)
	if fields, ok = splitFirst(fields, line); !ok {
		return nil, false
	}
	for rest != "" {
		if line, rest, ok = strings.Cut(rest, lineEnd); !ok {
			return nil, false
		}
		n, value, found := strings.Cut(line, valueSep)
		if !found || strings.HasPrefix(n, ":") {
			return nil, false
		}
		fields = append(fields, hpack.HeaderField{Name: n, Value: value})
	}
	return fields, true
}

// splitFirst appends the HPACK fields of a message's first line. It returns false
// if the line is neither a request line nor a status line of HTTP/1.1.
func splitFirst(fields []hpack.HeaderField, line string) ([]hpack.HeaderField, bool) {
	if status, ok := strings.CutPrefix(line, version+" "); ok {
		return append(fields, hpack.HeaderField{Name: fieldStatus, Value: status}), true
	}
	line, ok := strings.CutSuffix(line, " "+version)
	if !ok {
		return nil, false
	}
	method, path, ok := strings.Cut(line, " ")
	if !ok || method == "" {
		return nil, false
	}
	end := len(path)
	if q := strings.IndexByte(path, '?'); q >= 0 {
		end = q
	}
	slash := strings.LastIndexByte(path[:end], '/') + 1
	return append(fields,
		hpack.HeaderField{Name: fieldMethod, Value: method},
		hpack.HeaderField{Name: fieldDir, Value: path[:slash]},
		hpack.HeaderField{Name: fieldRest, Value: path[slash:]}), true
}
