package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// nodeKind is the JSON type of a node.
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
	// raw is the value's own text.
	raw []byte
	// text is the value of a string or the digits of a number.
	text   string
	truth  bool
	fields []field
	items  []node
}

// field is one member of an object.
type field struct {
	key   string
	value node
}

// parser builds the tree of a document whose syntax was checked.
type parser struct {
	src    []byte
	dec    *json.Decoder
	faults *Faults
	// values counts the values parsed.
	values int
}

// parse returns the document's tree, or false after a fault that leaves
// nothing to decode: size, encoding or syntax.
func parse(b []byte, faults *Faults) (node, bool) {
	if len(b) > MaxSize {
		faults.Add("", fmt.Sprintf("%d bytes", len(b)), fmt.Sprintf("at most %d bytes", MaxSize))
		return node{}, false
	}
	if !utf8.Valid(b) {
		faults.Add("", "bytes that are not UTF-8", "JSON in UTF-8")
		return node{}, false
	}
	// Unmarshal checks the whole text, trailing data included, before it
	// stores anything; walking the tokens can't fail afterwards.
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

// syntaxFound says where the syntax breaks.
func syntaxFound(b []byte, err error) string {
	se, ok := err.(*json.SyntaxError)
	if !ok {
		return err.Error()
	}
	line := 1 + bytes.Count(b[:min(int(se.Offset), len(b))], []byte("\n"))
	return fmt.Sprintf("%s in line %d", se.Error(), line)
}

// value parses the next value. It returns false when the document exceeds a
// limit, which ends the parse.
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
		return node{kind: kindBool, truth: t, raw: []byte(strconv.FormatBool(t))}, true
	default:
		return node{kind: kindNull, raw: []byte("null")}, true
	}
}

// compound parses the object or array that begins at start.
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

func (p *parser) tooMany(path string) bool {
	p.faults.Add(path, fmt.Sprintf("more than %d elements", MaxElements), fmt.Sprintf("at most %d elements", MaxElements))
	return false
}

// quote returns s as JSON.
func quote(s string) []byte {
	b, _ := json.Marshal(s) // a string always encodes
	return b
}

// Join returns the path of an object's member.
func Join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Index returns the path of an array's element.
func Index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
