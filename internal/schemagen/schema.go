// Package schemagen generates the JSON Schemas and the reference pages of the
// documents and settings from the Go types that decode them. Its test keeps the
// committed files equal; run the test with -update to write them.
package schemagen

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"reflect"

	"github.com/invopop/jsonschema"
	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/internal/settings"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// importPath is this package's own; comments are looked up relative to it.
const importPath = "github.com/jacinthgate/jacinthgate/internal/schemagen"

// Root is the project's root, seen from this package's directory, where the
// generator must run.
const Root = "../.."

// durationPattern accepts the durations of model.Duration.
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`

// document is one kind of file that has a schema.
type document struct {
	// name is the schema's file name without its extension.
	name  string
	title string
	// value is decoded into; it holds the defaults.
	value any
}

func documents() []document {
	return []document{
		{name: "contract", title: "Contract of one organisation", value: &model.Contract{}},
		{name: "service", title: "Service", value: &model.Service{}},
		{name: "batch", title: "Changes that become one version", value: &model.Batch{}},
		{name: "node-settings", title: "Settings of jacinthgate-node", value: nodeDefaults()},
		{name: "ctl-settings", title: "Settings of jacinthgatectl", value: settings.DefaultCtl()},
	}
}

// nodeDefaults are the defaults of a node, those of the optional tls included.
func nodeDefaults() *settings.Node {
	n := settings.DefaultNode()
	n.TLS = new(settings.TLS)
	n.TLS.SetDefaults()
	return n
}

// Schemas returns all schemas by name.
func Schemas() (map[string]*jsonschema.Schema, error) {
	r := &jsonschema.Reflector{Anonymous: true, DoNotReference: true, Mapper: mapDuration}
	for _, dir := range []string{"state/model", "internal/settings"} {
		err := r.AddGoComments(importPath, filepath.Join(Root, dir), jsonschema.WithFullComment())
		if err != nil {
			return nil, errors.Wrap(err, "read comments")
		}
	}
	all := make(map[string]*jsonschema.Schema)
	for _, d := range documents() {
		s := r.Reflect(d.value)
		s.Title = d.title
		if err := setDefaults(s, d.value); err != nil {
			return nil, err
		}
		all[d.name] = s
	}
	return all, nil
}

func mapDuration(t reflect.Type) *jsonschema.Schema {
	if t != reflect.TypeFor[model.Duration]() {
		return nil
	}
	return &jsonschema.Schema{Type: "string", Pattern: durationPattern}
}

// setDefaults notes the values that v holds as defaults of optional fields.
func setDefaults(s *jsonschema.Schema, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode defaults")
	}
	var values map[string]any
	if err := json.Unmarshal(raw, &values); err != nil {
		return errors.Wrap(err, "decode defaults")
	}
	noteDefaults(s, values)
	return nil
}

func noteDefaults(s *jsonschema.Schema, values map[string]any) {
	required := make(map[string]bool)
	for _, key := range s.Required {
		required[key] = true
	}
	for key, property := range s.Properties.FromOldest() {
		switch value := values[key].(type) {
		case nil:
		case map[string]any:
			noteDefaults(property, value)
		default:
			if !required[key] {
				property.Default = value
			}
		}
	}
}

// encodeSchema returns the committed form of a schema.
func encodeSchema(s *jsonschema.Schema) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(s); err != nil {
		return nil, errors.Wrap(err, "encode schema")
	}
	return b.Bytes(), nil
}
