package schemagen

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	validator "github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/settings"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// generated reads the sources once for all tests.
var generated = sync.OnceValues(Schemas)

var update = flag.Bool("update", false, "write the generated files")

func TestCommittedFilesAreCurrent(t *testing.T) {
	files, err := Files()
	must.NoError(t, err)
	for path, want := range files {
		path = filepath.Join(Root, filepath.FromSlash(path))
		if *update {
			must.NoError(t, os.WriteFile(path, want, 0o644))
		}
		got, err := os.ReadFile(path)
		must.NoError(t, err)
		must.Eq(t, string(want), string(got), must.Sprint("run this test with -update"))
	}
}

// TestPagesAreComplete fails on a pattern without words and on a field without
// a comment.
func TestPagesAreComplete(t *testing.T) {
	files, err := Files()
	must.NoError(t, err)
	for _, page := range []string{"docs/CONTRACTS.md", "docs/SETTINGS.md"} {
		for line := range strings.Lines(string(files[page])) {
			must.StrNotContains(t, line, "|  |\n", must.Sprint("no meaning"))
			must.StrNotContains(t, line, "| , ", must.Sprint("pattern without words"))
		}
	}
}

func compile(t *testing.T, name string) *validator.Schema {
	schemas, err := generated()
	must.NoError(t, err)
	raw, err := encodeSchema(schemas[name])
	must.NoError(t, err)
	doc, err := validator.UnmarshalJSON(bytes.NewReader(raw))
	must.NoError(t, err)
	c := validator.NewCompiler()
	must.NoError(t, c.AddResource(name, doc))
	s, err := c.Compile(name)
	must.NoError(t, err)
	return s
}

func accepts(t *testing.T, s *validator.Schema, raw []byte) bool {
	doc, err := validator.UnmarshalJSON(bytes.NewReader(raw))
	must.NoError(t, err)
	return s.Validate(doc) == nil
}

func TestSchemasAcceptExamples(t *testing.T) {
	globs := map[string]string{
		"contract":      "*/contracts/*.json",
		"service":       "*/services/*.json",
		"node-settings": "*/node.json",
		"ctl-settings":  "*/ctl.json",
	}
	batch := compile(t, "batch")
	for name, glob := range globs {
		s := compile(t, name)
		paths, err := filepath.Glob(filepath.Join(Root, "examples", glob))
		must.NoError(t, err)
		must.SliceNotEmpty(t, paths)
		for _, path := range paths {
			raw, err := os.ReadFile(path)
			must.NoError(t, err)
			must.True(t, accepts(t, s, raw), must.Sprint(path))
			inBatch := []byte(`{"` + name + `s": [` + string(raw) + `]}`)
			must.Eq(t, name == "contract" || name == "service", accepts(t, batch, inBatch))
		}
	}
}

// edit sets the value at a path of keys in a JSON object; nil removes it.
func edit(t *testing.T, raw []byte, path string, value any) []byte {
	var doc map[string]any
	must.NoError(t, json.Unmarshal(raw, &doc))
	keys := strings.Split(path, ".")
	at := doc
	for _, key := range keys[:len(keys)-1] {
		next, ok := at[key].(map[string]any)
		if list, isList := at[key].([]any); isList {
			next, ok = list[0].(map[string]any)
		}
		must.True(t, ok)
		at = next
	}
	at[keys[len(keys)-1]] = value
	if value == nil {
		delete(at, keys[len(keys)-1])
	}
	b, err := json.Marshal(doc)
	must.NoError(t, err)
	return b
}

// TestSchemaAndParserAgree edits one value of an example; the schema and the
// parser must give the same verdict.
func TestSchemaAndParserAgree(t *testing.T) {
	parseContract := func(b []byte) error { _, err := model.ParseContract(b); return err }
	parseService := func(b []byte) error { _, err := model.ParseService(b); return err }
	parseNode := func(b []byte) error { _, err := settings.ParseNode(b); return err }
	cases := []struct {
		schema, file, path string
		parse              func([]byte) error
		good, bad          []any
	}{
		{"contract", "contracts/clinic-csepel.json", "organisation", parseContract, []any{strings.Repeat("a", 63)}, []any{strings.Repeat("a", 64), "-a", "A", "", nil}},
		{"contract", "contracts/clinic-csepel.json", "weight", parseContract, []any{1, 1000}, []any{0, 1001, "1", nil}},
		{"contract", "contracts/clinic-csepel.json", "hosts", parseContract, []any{[]string{"a"}}, []any{[]string{}, []string{"a", "a"}, make([]string, 65)}},
		{"contract", "contracts/clinic-csepel.json", "handledBy", parseContract, []any{"older"}, []any{"old", nil}},
		{"contract", "contracts/clinic-csepel.json", "rate.perSecond", parseContract, []any{0.5, 10_000_000}, []any{0, 10_000_001}},
		{"contract", "contracts/clinic-csepel.json", "rate.burst", parseContract, []any{1, 10_000_000}, []any{0, 10_000_001}},
		{"contract", "contracts/clinic-csepel.json", "concurrency", parseContract, []any{10_000_000}, []any{0, 10_000_001}},
		{"contract", "contracts/clinic-csepel.json", "classes", parseContract, nil, []any{make([]struct{}, 17), nil}},
		{"contract", "contracts/clinic-csepel.json", "classes.kind", parseContract, []any{"bulk"}, []any{"Bulk", nil}},
		{"contract", "contracts/clinic-csepel.json", "classes.deadline", parseContract, []any{"1h", "1m0.5s"}, []any{"1", "1 s", 5, nil}},
		{"contract", "contracts/clinic-csepel.json", "classes.retryBudget.ratio", parseContract, []any{0, 1}, []any{-0.1, 1.1, nil}},
		{"contract", "contracts/clinic-csepel.json", "classes.retryBudget.minPerSecond", parseContract, []any{0, 1000}, []any{-1, 1001, nil}},
		{"contract", "contracts/clinic-csepel.json", "classes.repeatable", parseContract, nil, []any{"false", nil}},
		{"contract", "contracts/clinic-csepel.json", "routes.methods", parseContract, []any{[]string{"PATCH"}, nil}, []any{[]string{"get"}, []string{"GET", "GET"}}},
		{"contract", "contracts/clinic-csepel.json", "routes.pathPrefix", parseContract, []any{"/" + strings.Repeat("a", 1023)}, []any{"a", "/" + strings.Repeat("a", 1024)}},
		{"service", "services/foglalas.json", "maxEjected", parseService, []any{0, 0.9}, []any{0.91, -1, nil}},
		{"service", "services/foglalas.json", "queueLength", parseService, []any{0, 10_000, nil}, []any{-1, 10_001}},
		{"service", "services/foglalas.json", "olderSlots", parseService, []any{0, 10_000, nil}, []any{-1, 10_001}},
		{"service", "services/foglalas.json", "Name", parseService, nil, []any{"a"}},
		{"node-settings", "node.json", "node", parseNode, []any{"a-1"}, []any{"A", nil}},
		{"node-settings", "node.json", "platform.prefix", parseNode, []any{"a/b/", nil}, []any{"a", "/", "a//", strings.Repeat("a", 128) + "/"}},
		{"node-settings", "node.json", "control.bytesPerSecond", parseNode, []any{1024, nil}, []any{1023, 1<<30 + 1}},
		{"node-settings", "node.json", "control.burstBytes", parseNode, []any{1 << 18, nil}, []any{1<<18 - 1, 1<<30 + 1}},
		{"node-settings", "node.json", "limits.headerBytes", parseNode, []any{4096, 1 << 20}, []any{4095, 1<<20 + 1}},
		{"node-settings", "node.json", "limits.maxPeers", parseNode, []any{2, 256}, []any{1, 257}},
		{"node-settings", "node.json", "limits.connections", parseNode, []any{1, 65536}, []any{0, 65537}},
		{"node-settings", "node.json", "limits.queue", parseNode, []any{1, 10_000}, []any{0, 10_001}},
		{"node-settings", "node.json", "logLevel", parseNode, []any{"debug", nil}, []any{"trace"}},
	}
	for _, c := range cases {
		t.Run(c.schema+"/"+c.path, func(t *testing.T) {
			s := compile(t, c.schema)
			raw, err := os.ReadFile(filepath.Join(Root, "examples", "room-signage", c.file))
			must.NoError(t, err)
			for _, v := range c.good {
				doc := edit(t, raw, c.path, v)
				must.NoError(t, c.parse(doc))
				must.True(t, accepts(t, s, doc), must.Sprint(v))
			}
			for _, v := range c.bad {
				doc := edit(t, raw, c.path, v)
				must.Error(t, c.parse(doc))
				must.False(t, accepts(t, s, doc), must.Sprint(v))
			}
		})
	}
}
