package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// nodeKind is the JSON type of a node, worded as in a Fault's Allowed.
type nodeKind string

const (
	kindObject nodeKind = "an object"
	kindArray  nodeKind = "an array"
	kindString nodeKind = "a string"
	kindNumber nodeKind = "a number"
	kindBool   nodeKind = "true or false"
	kindNull   nodeKind = "null"
)

// node is one value of a parsed document.
type node struct {
	kind nodeKind
	// raw is the value as JSON text, for a Fault's Found.
	raw []byte
	// text is the value of a string, or a number as it is written.
	text    string
	boolean bool
	fields  []field
	items   []node
}

// field is one member of an object.
type field struct {
	key   string
	value node
}

// parser builds the tree of nodes of a document whose syntax is known to be
// valid.
type parser struct {
	src    []byte
	dec    *json.Decoder
	faults *Faults
	// values is the number of values parsed so far.
	values int
}

// parse returns the root node of the document b. It returns false when b can't
// be decoded at all: it is too large, isn't valid UTF-8, has a syntax error or
// exceeds one of the limits.
func parse(b []byte, faults *Faults) (node, bool) {
	if len(b) > MaxSize {
		faults.Add("", fmt.Sprintf("%d bytes", len(b)), fmt.Sprintf("at most %d bytes", MaxSize))
		return node{}, false
	}
	if !utf8.Valid(b) {
		faults.Add("", "bytes that are not UTF-8", "JSON in UTF-8")
		return node{}, false
	}
	// Unmarshal checks the syntax of the whole text, trailing data included,
	// so that reading its tokens can't fail afterwards.
	var raw json.RawMessage
	if err := json.Unmarshal(b, &raw); err != nil {
		faults.Add("", syntaxFound(b, err), "one JSON document")
		return node{}, false
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.UseNumber()
	p := &parser{src: b, dec: dec, faults: faults}
	return p.value("", 0)
}

// syntaxFound describes a syntax error and the line where it occurs.
func syntaxFound(b []byte, err error) string {
	se, ok := err.(*json.SyntaxError)
	if !ok {
		return err.Error()
	}
	line := 1 + bytes.Count(b[:min(int(se.Offset), len(b))], []byte("\n"))
	return fmt.Sprintf("%s in line %d", se.Error(), line)
}

// value parses the next value, which lies at path and is enclosed by depth
// arrays and objects. It returns false when the document exceeds a limit;
// parsing ends there.
func (p *parser) value(path string, depth int) (node, bool) {
	p.values++
	if p.values > MaxValues {
		p.faults.Add("", fmt.Sprintf("more than %d values", MaxValues), fmt.Sprintf("at most %d values", MaxValues))
		return node{}, false
	}
	tok, err := p.dec.Token()
	if err != nil {
		p.faults.Add(path, err.Error(), "one JSON document")
		return node{}, false
	}
	end := p.dec.InputOffset()
	switch t := tok.(type) {
	case json.Delim:
		return p.compound(t, path, depth+1, end-1)
	case string:
		return node{kind: kindString, text: t, raw: quote(t)}, true
	case json.Number:
		return node{kind: kindNumber, text: t.String(), raw: []byte(t)}, true
	case bool:
		return node{kind: kindBool, boolean: t, raw: []byte(strconv.FormatBool(t))}, true
	default:
		return node{kind: kindNull, raw: []byte("null")}, true
	}
}

// compound parses the object or array whose opening bracket stands at the byte
// offset start.
func (p *parser) compound(open json.Delim, path string, depth int, start int64) (node, bool) {
	if depth > MaxNesting {
		p.faults.Add(path, fmt.Sprintf("%d levels", depth), fmt.Sprintf("at most %d levels of nesting", MaxNesting))
		return node{}, false
	}
	n := node{kind: kindArray}
	parseAll := p.items
	if open == '{' {
		n.kind = kindObject
		parseAll = p.members
	}
	if !parseAll(&n, path, depth) {
		return node{}, false
	}
	if _, err := p.dec.Token(); err != nil { // the closing bracket
		p.faults.Add(path, err.Error(), "one JSON document")
		return node{}, false
	}
	n.raw = p.src[start:p.dec.InputOffset()]
	return n, true
}

func (p *parser) items(n *node, path string, depth int) bool {
	for i := 0; p.dec.More(); i++ {
		if i >= MaxElements {
			return p.tooMany(path)
		}
		item, ok := p.value(Index(path, i), depth)
		if !ok {
			return false
		}
		n.items = append(n.items, item)
	}
	return true
}

func (p *parser) members(n *node, path string, depth int) bool {
	seen := make(map[string]bool)
	for p.dec.More() {
		if len(seen) >= MaxElements {
			return p.tooMany(path)
		}
		tok, _ := p.dec.Token()
		key, _ := tok.(string)
		value, ok := p.value(Join(path, key), depth)
		if !ok {
			return false
		}
		if seen[key] {
			p.faults.Add(Join(path, key), "the key a second time", "each key once")
			continue
		}
		seen[key] = true
		n.fields = append(n.fields, field{key: key, value: value})
	}
	return true
}

// tooMany adds the fault of an array or object with too many elements. It
// returns false, as the parse ends there.
func (p *parser) tooMany(path string) bool {
	p.faults.Add(path, fmt.Sprintf("more than %d elements", MaxElements), fmt.Sprintf("at most %d elements", MaxElements))
	return false
}

// quote returns s as a JSON string.
func quote(s string) []byte {
	b, _ := json.Marshal(s) // a string always encodes
	return b
}

// Join returns the path of the member key of the object at path.
func Join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Index returns the path of element i of the array at path.
func Index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
