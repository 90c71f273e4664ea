// Package rules keeps the project's rules on imports by test.
package rules

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const module = "github.com/jacinthgate/jacinthgate/"

// layers gives for each folder the folders that it may import from.
var layers = map[string][]string{
	"state":        {"state"},
	"protocol":     {"state", "protocol"},
	"coordination": {"state", "protocol", "coordination"},
	"transport":    {"state", "protocol", "coordination", "transport"},
}

// impure are the packages that a pure layer may not import.
var impure = []string{"net", "net/http", "os", "os/exec", "sync", "crypto/tls"}

// mayImpure are the packages of the pure layers that run on the path of a
// request and share state between threads.
var mayImpure = map[string]string{
	"coordination/admit":       "sync",
	"coordination/attempt":     "sync",
	"coordination/balance":     "sync",
	"coordination/gate":        "sync",
	"coordination/pace":        "sync",
	"coordination/quarantine":  "sync",
	"coordination/quota":       "sync",
	"coordination/retry":       "sync",
	"coordination/serverlimit": "sync",
	"coordination/share":       "sync",
	"state/endpoint":           "net",
	"state/snapshot":           "net",
	"state/model":              "net",
}

func TestLayersImportInOneDirection(t *testing.T) {
	forEachImport(t, func(dir, imported string) {
		allowed, layered := layers[top(dir)]
		rest, ours := strings.CutPrefix(imported, module)
		if !layered || !ours {
			return
		}
		must.SliceContains(t, allowed, top(rest), must.Sprintf("%s imports %s", dir, imported))
	})
}

func TestPureLayersDoNoIO(t *testing.T) {
	forEachImport(t, func(dir, imported string) {
		if top(dir) == "transport" || layers[top(dir)] == nil || mayImpure[dir] == imported {
			return
		}
		must.SliceNotContains(t, impure, imported, must.Sprintf("%s imports %s", dir, imported))
	})
}

// programs are the daemons and tools that run on a real site.
var programs = []string{"cmd/jacinthgate-node", "cmd/jacinthgate-sidecar", "cmd/jacinthgatectl"}

// tools are the folders that serve tests, trials and measurements only.
var tools = []string{"internal/standin", "platform/platformtest", "internal/fleet", "internal/measure", "internal/load", "internal/demo",
	"internal/process", "internal/soak", "transport/transporttest",
}

func TestProductImportsNoTools(t *testing.T) {
	imports := make(map[string][]string)
	forEachImport(t, func(dir, imported string) {
		if rest, ours := strings.CutPrefix(imported, module); ours {
			imports[dir] = append(imports[dir], rest)
		}
	})
	seen := make(map[string]bool)
	var visit func(dir, by string)
	visit = func(dir, by string) {
		if seen[dir] {
			return
		}
		seen[dir] = true
		for _, tool := range tools {
			must.False(t, strings.HasPrefix(dir, tool), must.Sprintf("%s imports %s", by, dir))
		}
		for _, next := range imports[dir] {
			visit(next, dir)
		}
	}
	for _, p := range programs {
		visit(p, "")
	}
	must.True(t, seen["state/snapshot"])
}

func top(dir string) string { return strings.SplitN(dir, "/", 2)[0] }

// forEachImport calls f for each import of each file that is no test.
func forEachImport(t *testing.T, f func(dir, imported string)) {
	t.Helper()
	root := filepath.Join("..", "..")
	seen := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		must.NoError(t, err)
		dir, err := filepath.Rel(root, filepath.Dir(path))
		must.NoError(t, err)
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			must.NoError(t, err)
			f(filepath.ToSlash(dir), imported)
			seen++
		}
		return nil
	})
	must.NoError(t, err)
	must.Positive(t, seen)
}
