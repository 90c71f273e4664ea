package schemagen

import (
	"embed"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/invopop/jsonschema"
	"github.com/pkg/errors"
)

//go:embed *.md.tmpl
var templates embed.FS

// patternWords says in words what each pattern of the schemas accepts.
var patternWords = map[string]string{
	durationPattern:            "duration with unit",
	"^[a-z0-9][a-z0-9-]*$":     "name",
	"^/":                       "path",
	"^([a-z0-9][a-z0-9-]*/)+$": "names, a slash after each",
}

// Files returns the content of all generated files by their path below Root.
func Files() (map[string][]byte, error) {
	schemas, err := Schemas()
	if err != nil {
		return nil, err
	}
	files := make(map[string][]byte)
	for name, s := range schemas {
		b, err := encodeSchema(s)
		if err != nil {
			return nil, err
		}
		files["schema/"+name+".json"] = b
	}
	for _, page := range []string{"CONTRACTS.md", "SETTINGS.md"} {
		b, err := renderPage(page, schemas)
		if err != nil {
			return nil, err
		}
		files["docs/"+page] = b
	}
	return files, nil
}

// renderPage fills in a page's template: {{fields "contract"}} is the table of
// a schema's fields, {{example "room-signage/node.json"}} an example file.
func renderPage(page string, schemas map[string]*jsonschema.Schema) ([]byte, error) {
	functions := template.FuncMap{
		"fields":  func(name string) string { return fieldTable(schemas[name]) },
		"example": example,
	}
	t, err := template.New(page+".tmpl").Funcs(functions).ParseFS(templates, page+".tmpl")
	if err != nil {
		return nil, errors.Wrap(err, "parse page")
	}
	var b strings.Builder
	if err := t.Execute(&b, nil); err != nil {
		return nil, errors.Wrap(err, "fill in page")
	}
	return []byte(b.String()), nil
}

func example(path string) (string, error) {
	b, err := os.ReadFile(filepath.Join(Root, "examples", path))
	if err != nil {
		return "", errors.Wrap(err, "read example")
	}
	return "```json\n" + string(b) + "```", nil
}

func fieldTable(s *jsonschema.Schema) string {
	var b strings.Builder
	b.WriteString("| Field | Type | Default | Allowed | Meaning |\n|---|---|---|---|---|\n")
	writeFields(&b, s, "")
	return strings.TrimSuffix(b.String(), "\n")
}

// writeFields writes a row for each property and those below it.
func writeFields(b *strings.Builder, s *jsonschema.Schema, prefix string) {
	required := strings.Join(s.Required, ",") + ","
	for key, p := range s.Properties.FromOldest() {
		path := prefix + key
		must := strings.Contains(","+required, ","+key+",")
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", path, typeWord(p), defaultWord(p, must), allowedWord(p), oneLine(p.Description))
		switch {
		case p.Properties != nil:
			writeFields(b, p, path+".")
		case p.Items != nil && p.Items.Properties != nil:
			writeFields(b, p.Items, path+"[].")
		}
	}
}

func typeWord(s *jsonschema.Schema) string {
	if s.Items != nil {
		return "array of " + typeWord(s.Items)
	}
	if s.Pattern == durationPattern {
		return "duration"
	}
	return s.Type
}

func defaultWord(s *jsonschema.Schema, required bool) string {
	if required {
		return "must be given"
	}
	if s.Default == nil {
		return zeroWord(s)
	}
	b, err := json.Marshal(s.Default)
	if err != nil {
		return "none"
	}
	return "`" + string(b) + "`"
}

// zeroWord is what an optional field without a default holds.
func zeroWord(s *jsonschema.Schema) string {
	switch s.Type {
	case "integer":
		return "`0`"
	case "boolean":
		return "`false`"
	default:
		return "none"
	}
}

// allowedWord joins all bounds of a value.
func allowedWord(s *jsonschema.Schema) string {
	var words []string
	if s.Minimum != "" {
		words = append(words, string(s.Minimum)+" to "+string(s.Maximum))
	}
	if s.ExclusiveMinimum != "" {
		words = append(words, "more than "+string(s.ExclusiveMinimum)+", at most "+string(s.Maximum))
	}
	if s.Pattern != "" {
		words = append(words, patternWords[s.Pattern])
	}
	if s.MaxLength != nil {
		words = append(words, fmt.Sprintf("at most %d bytes", *s.MaxLength))
	}
	words = append(words, enumWords(s)...)
	if s.MinItems != nil {
		words = append(words, fmt.Sprintf("at least %d", *s.MinItems))
	}
	if s.MaxItems != nil {
		words = append(words, fmt.Sprintf("at most %d", *s.MaxItems))
	}
	if s.UniqueItems {
		words = append(words, "each once")
	}
	return strings.Join(words, ", ")
}

func enumWords(s *jsonschema.Schema) []string {
	if s.Items != nil {
		return enumWords(s.Items)
	}
	words := make([]string, len(s.Enum))
	for i, e := range s.Enum {
		words[i] = fmt.Sprintf("`%v`", e)
	}
	return words
}

func oneLine(s string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(s), " "), "|", "\\|")
}
