package strictjson

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

type even int

type notEven struct{}

func (notEven) Error() string   { return "odd" }
func (notEven) Allowed() string { return "an even number" }

func (e *even) UnmarshalJSON(b []byte) error {
	var i int
	if err := json.Unmarshal(b, &i); err != nil || i%2 != 0 {
		return notEven{}
	}
	*e = even(i)
	return nil
}

type inner struct {
	Name string  `json:"name"`
	Rate float64 `json:"rate,omitempty"`
}

func (in *inner) SetDefaults() { in.Rate = 7 }

type outer struct {
	Title string  `json:"title"`
	Count int     `json:"count,omitempty"`
	Size  uint8   `json:"size,omitempty"`
	On    bool    `json:"on,omitempty"`
	Even  even    `json:"even,omitempty"`
	Items []inner `json:"items,omitempty"`
	Opt   *inner  `json:"opt,omitempty"`

	Base map[string]uint64 `json:"base,omitempty"`
}

func TestDecodeValidDocument(t *testing.T) {
	o := outer{Count: 5}
	faults := Decode([]byte(`{"title":"é\n","size":255,"on":true,"even":4,"items":[{"name":"a","rate":1.5e2}],"opt":{"name":"b"},"base":{"x":7}}`), &o)
	must.NoError(t, faults.Err())
	want := outer{Title: "é\n", Count: 5, Size: 255, On: true, Even: 4, Items: []inner{{"a", 150}}, Opt: &inner{"b", 7}, Base: map[string]uint64{"x": 7}}
	must.Eq(t, want, o)
}

func TestDecodeReportsFault(t *testing.T) {
	deep := strings.Repeat("[", MaxNesting+1) + strings.Repeat("]", MaxNesting+1)
	long := "[" + strings.Repeat("1,", MaxElements) + "1]"
	full := "[" + strings.Repeat("1,", MaxElements-1) + "1]"
	wide := "[" + strings.Repeat(full+",", MaxValues/MaxElements) + full + "]"
	cases := []struct{ name, doc, want string }{
		{"unknown", `{"title":"a","tilte":1}`, "tilte: found a key that is not known, allowed: one of title, count, size, on, even, items, opt, base"},
		{"case", `{"title":"a","Count":1}`, "Count: found a key that is not known, allowed: count"},
		{"duplicate", `{"title":"a","title":"b"}`, "title: found the key a second time, allowed: each key once"},
		{"duplicate below", `{"title":"a","items":[{"name":"a","name":"a"}]}`, "items[0].name: found the key a second time, allowed: each key once"},
		{"missing", `{}`, "title: found nothing, allowed: a value, which must be given"},
		{"missing below", `{"title":"a","items":[{"name":"a"},{}]}`, "items[1].name: found nothing, allowed: a value, which must be given"},
		{"string", `{"title":3}`, "title: found 3, allowed: a string"},
		{"string null", `{"title":null}`, "title: found null, allowed: a string"},
		{"pointer null", `{"title":"a","opt":null}`, "opt: found null, allowed: a value, or no such key"},
		{"map value", `{"title":"a","base":{"x":-1}}`, "base.x: found -1, allowed: an integer of 0 or more"},
		{"map null", `{"title":"a","base":null}`, "base: found null, allowed: an object"},
		{"fraction", `{"title":"a","count":1.5}`, "count: found 1.5, allowed: an integer"},
		{"quoted integer", `{"title":"a","count":"1"}`, `count: found "1", allowed: an integer`},
		{"overflow", `{"title":"a","size":256}`, "size: found 256, allowed: an integer of 0 or more"},
		{"infinite", `{"title":"a","opt":{"name":"a","rate":1e999}}`, "opt.rate: found 1e999, allowed: a number"},
		{"bool", `{"title":"a","on":"true"}`, `on: found "true", allowed: true or false`},
		{"array", `{"title":"a","items":{}}`, "items: found {}, allowed: an array"},
		{"object", `{"title":"a","items":[ [1] ]}`, "items[0]: found [1], allowed: an object"},
		{"own type", `{"title":"a","even":3}`, "even: found 3, allowed: an even number"},
		{"not an object", `[]`, "document: found [], allowed: an object"},
		{"trailing", `{"title":"a"} {}`, "document: found invalid character '{' after top-level value in line 1, allowed: one JSON document"},
		{"syntax", "{\n\"title\":}", "document: found invalid character '}' looking for beginning of value in line 2, allowed: one JSON document"},
		{"empty", ``, "document: found unexpected end of JSON input in line 1, allowed: one JSON document"},
		{"not UTF-8", "{\"title\":\"\xff\"}", "document: found bytes that are not UTF-8, allowed: JSON in UTF-8"},
		{"nesting", deep, strings.Repeat("[0]", MaxNesting) + ": found 17 levels, allowed: at most 16 levels of nesting"},
		{"values", wide, "document: found more than 100000 values, allowed: at most 100000 values"},
		{"elements", long, "document: found more than 4096 elements, allowed: at most 4096 elements"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.EqError(t, Decode([]byte(c.doc), new(outer)).Err(), c.want)
		})
	}
}

func TestDecodeReportsAllFaults(t *testing.T) {
	faults := Decode([]byte(`{"title":1,"count":"x","more":0,"items":[{"name":true}]}`), new(outer))
	must.Len(t, 4, faults)
	must.Eq(t, Fault{Path: "items[0].name", Found: "true", Allowed: "a string"}, faults[3])
}

func TestDecodeBoundsSizeAndFaults(t *testing.T) {
	must.Len(t, 1, Decode(bytes.Repeat([]byte(" "), MaxSize+1), new(outer)))

	bad := `{"title":"a","items":[` + strings.Repeat("1,", 2*MaxFaults) + `"` + strings.Repeat("é", maxFound) + `"]}`
	must.Len(t, MaxFaults, Decode([]byte(bad), new(outer)))
	must.Eq(t, "x"+strings.Repeat("é", 39)+"...", truncate("x"+strings.Repeat("é", maxFound)))
}

func TestMergeDropsCoveredFaults(t *testing.T) {
	faults := Faults{{Path: "routes[1]"}, {Path: "rate"}}
	faults.Merge(Faults{{Path: "routes[1].name"}, {Path: "rate"}, {Path: "rates"}, {Path: "routes[10]"}})
	must.Eq(t, Faults{{Path: "routes[1]"}, {Path: "rate"}, {Path: "rates"}, {Path: "routes[10]"}}, faults)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"title":"a","items":[{"name":"a","rate":1}],"opt":{"name":"\ud800"}}`))
	f.Add([]byte(`{"title":"a","title":[{}],"even":{"a":[1,2]}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		faults := Decode(b, new(outer))
		if len(faults) == 0 {
			must.NoError(t, json.Unmarshal(b, new(outer)))
		}
	})
}
