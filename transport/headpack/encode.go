package headpack

import (
	"bytes"
	"hash/maphash"
	"strings"

	"golang.org/x/net/http2/hpack"
)

// Names of the fields that stand for parts of a message's first line. No header
// has a name that begins with a colon: splitHead refuses those.
const (
	fieldMethod = ":m"
	fieldDir    = ":d" // the path up to its last slash: routes share it
	fieldRest   = ":r" // what follows
	fieldStatus = ":s" // status code and text
)

const (
	version  = "HTTP/1.1"
	lineEnd  = "\r\n"
	headEnd  = "\r\n\r\n"
	valueSep = ": "
)

// tableBytes is the size of a connection's table at either end. A fleet's
// hosts, routes, services and instances are some 60 fields of 70 bytes.
const tableBytes = 4 << 10

// entryOverhead is what HPACK counts for a table's entry beside its texts
// (RFC 7541, section 4.1).
const entryOverhead = 32

const (
	// recentValues is the number of a name's last values among which a
	// repetition is looked for: callers of a host use a handful of routes.
	recentValues = 8
	// maxNames bounds the names that an encoder follows; others are sent whole.
	maxNames = 64
)

// value is a value that a name has had.
type value struct {
	hash uint64
	at   int // where in the table's history it was last entered
}

// name is what an encoder knows of a field's name.
type name struct {
	at     int // where in the table's history it was last entered
	recent [recentValues]value
	next   int // the place in recent of the next new value
	seen   int // values
	hits   int // values that were among the recent ones
}

// never is where something was entered that never was.
const never = -tableBytes - 1

// encoder encodes heads. It is not safe for concurrent use.
type encoder struct {
	out     bytes.Buffer
	hpack   *hpack.Encoder
	seed    maphash.Seed
	names   map[string]*name
	entered int // bytes entered into the table so far
}

func newEncoder() *encoder {
	e := &encoder{seed: maphash.MakeSeed(), names: make(map[string]*name)}
	e.hpack = hpack.NewEncoder(&e.out)
	e.hpack.SetMaxDynamicTableSizeLimit(tableBytes)
	e.hpack.SetMaxDynamicTableSize(tableBytes)
	return e
}

// encode returns the block for a head, which is valid until the next call. It
// reports false, and has encoded nothing, where the head would not come out the
// same.
func (e *encoder) encode(head string) ([]byte, bool) {
	fields, ok := splitHead(head)
	if !ok {
		return nil, false
	}
	e.out.Reset()
	for _, f := range fields {
		f.Sensitive = !e.enter(f)
		_ = e.hpack.WriteField(f) // a buffer takes all
	}
	return e.out.Bytes(), true
}

// enter decides whether a field may enter the table: where its name isn't there,
// and where its values repeat. Ids and paths would push out what does. A field
// that is there already is told to be entered too, which only refers to it.
func (e *encoder) enter(f hpack.HeaderField) bool {
	size := len(f.Name) + len(f.Value) + entryOverhead
	n := e.names[f.Name]
	if size > tableBytes/4 || (n == nil && len(e.names) >= maxNames) {
		return false
	}
	if n == nil {
		n = &name{at: never}
		e.names[f.Name] = n
	}
	v, repeats := n.note(maphash.String(e.seed, f.Value))
	switch {
	case e.holds(v.at):
		return true
	case e.holds(n.at) && !(repeats && 2*n.hits >= n.seen):
		return false
	}
	v.at, n.at = e.entered, e.entered
	e.entered += size
	return true
}

// holds reports whether the table still holds what was entered at a point of its
// history: it drops the oldest entries once it is over its size.
func (e *encoder) holds(at int) bool { return e.entered-at <= tableBytes }

// note takes a value's hash and reports whether it was among the last ones.
func (n *name) note(hash uint64) (*value, bool) {
	n.seen++
	for i := range n.recent {
		if v := &n.recent[i]; v.hash == hash && i < n.next {
			n.hits++
			return v, true
		}
	}
	v := &n.recent[n.next%recentValues]
	*v = value{hash: hash, at: never}
	n.next++
	return v, false
}

// splitHead takes a head apart, which ends with an empty line. It reports false
// where a decoder would not give the same bytes.
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

// splitFirst takes a message's first line apart.
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
