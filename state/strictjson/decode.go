package strictjson

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// Defaulter is implemented by the pointer type of an optional field whose
// struct has defaults. Decode calls SetDefaults on the new struct before it
// decodes the object into it.
type Defaulter interface {
	// SetDefaults sets each field that has a default to it.
	SetDefaults()
}

// Explainer is implemented by errors of UnmarshalJSON that describe the values
// which the type accepts. Decode reports this description as Fault.Allowed.
type Explainer interface {
	// Allowed describes the accepted values.
	Allowed() string
}

// Decode decodes the document b into the struct that into points to and
// returns all faults, none when b is valid. A field is required unless its
// json tag has omitempty or omitzero; an absent field keeps its previous value.
// When there are faults, the struct holds the values that could be decoded.
func Decode(b []byte, into any) Faults {
	var faults Faults
	n, ok := parse(b, &faults)
	if !ok {
		return faults
	}
	d := &decoder{faults: &faults}
	d.decode(n, reflect.ValueOf(into).Elem(), "")
	return faults
}

// Keys returns the keys of the document's outermost object in the order of the
// text, or nil when b is not a JSON object.
func Keys(b []byte) []string {
	var ignored Faults
	n, ok := parse(b, &ignored)
	if !ok {
		return nil
	}
	var keys []string
	for _, f := range n.fields {
		keys = append(keys, f.key)
	}
	return keys
}

// decoder stores the parsed tree of a document in Go values and collects the
// faults.
type decoder struct {
	faults *Faults
}

// decode stores n in v, or adds a fault when n does not fit v's type.
func (d *decoder) decode(n node, v reflect.Value, path string) {
	if u, ok := v.Addr().Interface().(json.Unmarshaler); ok {
		d.unmarshal(n, u, path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		d.pointer(n, v, path)
	case reflect.Struct:
		d.object(n, v, path)
	case reflect.Slice:
		d.array(n, v, path)
	case reflect.Map:
		d.mapping(n, v, path)
	case reflect.String:
		if d.expect(n, kindString, path) {
			v.SetString(n.text)
		}
	case reflect.Bool:
		if d.expect(n, kindBool, path) {
			v.SetBool(n.boolean)
		}
	default:
		d.number(n, v, path)
	}
}

// expect reports whether n is of the kind want, and adds a fault if it isn't.
func (d *decoder) expect(n node, want nodeKind, path string) bool {
	if n.kind == want {
		return true
	}
	d.faults.Add(path, string(n.raw), string(want))
	return false
}

func (d *decoder) unmarshal(n node, u json.Unmarshaler, path string) {
	err := u.UnmarshalJSON(n.raw)
	if err == nil {
		return
	}
	allowed := err.Error()
	if e, ok := err.(Explainer); ok {
		allowed = e.Allowed()
	}
	d.faults.Add(path, string(n.raw), allowed)
}

func (d *decoder) pointer(n node, v reflect.Value, path string) {
	if n.kind == kindNull {
		d.faults.Add(path, "null", "a value, or no such key")
		return
	}
	v.Set(reflect.New(v.Type().Elem()))
	if def, ok := v.Interface().(Defaulter); ok {
		def.SetDefaults()
	}
	d.decode(n, v.Elem(), path)
}

func (d *decoder) array(n node, v reflect.Value, path string) {
	if !d.expect(n, kindArray, path) {
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		d.decode(item, v.Index(i), Index(path, i))
	}
}

// mapping stores the object n in v, a map with string keys.
func (d *decoder) mapping(n node, v reflect.Value, path string) {
	if !d.expect(n, kindObject, path) {
		return
	}
	m := reflect.MakeMapWithSize(v.Type(), len(n.fields))
	for _, f := range n.fields {
		value := reflect.New(v.Type().Elem()).Elem()
		d.decode(f.value, value, Join(path, f.key))
		m.SetMapIndex(reflect.ValueOf(f.key).Convert(v.Type().Key()), value)
	}
	v.Set(m)
}

func (d *decoder) object(n node, v reflect.Value, path string) {
	if !d.expect(n, kindObject, path) {
		return
	}
	members := membersOf(v.Type())
	present := make(map[string]bool, len(n.fields))
	for _, f := range n.fields {
		present[f.key] = true
		m, known := find(members, f.key)
		if !known {
			d.faults.Add(Join(path, f.key), "a key that is not known", allowedKeys(members, f.key))
			continue
		}
		d.decode(f.value, v.Field(m.index), Join(path, f.key))
	}
	for _, m := range members {
		if m.required && !present[m.key] {
			d.faults.Add(Join(path, m.key), "nothing", "a value, which must be given")
		}
	}
}

// number stores n in v, an integer or a floating-point number. An integer must
// be written without a fraction or an exponent.
func (d *decoder) number(n node, v reflect.Value, path string) {
	switch {
	case v.CanInt():
		i, err := strconv.ParseInt(n.text, 10, v.Type().Bits())
		if n.kind == kindNumber && err == nil {
			v.SetInt(i)
			return
		}
		d.faults.Add(path, string(n.raw), "an integer")
	case v.CanUint():
		u, err := strconv.ParseUint(n.text, 10, v.Type().Bits())
		if n.kind == kindNumber && err == nil {
			v.SetUint(u)
			return
		}
		d.faults.Add(path, string(n.raw), "an integer of 0 or more")
	case v.CanFloat():
		f, err := strconv.ParseFloat(n.text, v.Type().Bits())
		if n.kind == kindNumber && err == nil {
			v.SetFloat(f)
			return
		}
		d.faults.Add(path, string(n.raw), "a number")
	default:
		d.faults.Add(path, string(n.raw), "nothing: the type "+v.Type().String()+" can't be decoded")
	}
}

// member is a struct field that a document may set.
type member struct {
	key      string
	index    int
	required bool
}

// membersOf returns the exported fields of t that have a JSON key.
func membersOf(t reflect.Type) []member {
	var ms []member
	for i := range t.NumField() {
		tag := t.Field(i).Tag.Get("json")
		key, options, _ := strings.Cut(tag, ",")
		if key == "" || key == "-" || !t.Field(i).IsExported() {
			continue
		}
		optional := strings.Contains(options, "omitempty") || strings.Contains(options, "omitzero")
		ms = append(ms, member{key: key, index: i, required: !optional})
	}
	return ms
}

func find(members []member, key string) (member, bool) {
	for _, m := range members {
		if m.key == key {
			return m, true
		}
	}
	return member{}, false
}

// allowedKeys returns the member's key that differs from key in case only, or
// else a list of all keys.
func allowedKeys(members []member, key string) string {
	all := make([]string, len(members))
	for i, m := range members {
		if strings.EqualFold(m.key, key) {
			return m.key
		}
		all[i] = m.key
	}
	return "one of " + strings.Join(all, ", ")
}
