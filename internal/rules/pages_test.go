package rules

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// notTheNode are folders whose processes are no part of a node.
var notTheNode = []string{
	"cmd/jacinthgate-backend", "cmd/jacinthgate-older", "cmd/jacinthgate-platform",
	"internal/standin", "platform/platformtest", "internal/demo", "internal/load", "internal/measure", "internal/fleet",
	"internal/process", "internal/soak", "cmd/jacinthgate-soak",
}

// forEachNodeFile calls f with each file of the node that is no test.
func forEachNodeFile(t *testing.T, f func(file *ast.File)) {
	t.Helper()
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		rel, err := filepath.Rel(root, path)
		must.NoError(t, err)
		other := func(dir string) bool { return strings.HasPrefix(filepath.ToSlash(rel), dir+"/") }
		if slices.ContainsFunc(notTheNode, other) {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		must.NoError(t, err)
		f(file)
		return nil
	})
	must.NoError(t, err)
}

// text returns the value of a string literal.
func text(e ast.Expr) string {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	s, _ := strconv.Unquote(lit.Value) // the parser has accepted it
	return s
}

// event returns an event's name and its other keys, from a list of key and
// value pairs.
func event(list []ast.Expr) (name string, keys []string) {
	if len(list) < 2 || text(list[0]) != "event" {
		return "", nil
	}
	for i := 2; i < len(list); i += 2 {
		keys = append(keys, text(list[i]))
	}
	return text(list[1]), keys
}

// levelOf returns the level of a call of Log: "always" without one.
func levelOf(call *ast.CallExpr) string {
	log, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	inner, ok := log.X.(*ast.CallExpr)
	if !ok {
		return "always"
	}
	if leveled, ok := inner.Fun.(*ast.SelectorExpr); ok {
		return strings.ToLower(leveled.Sel.Name)
	}
	return "always"
}

// eventRows returns the rows that docs/LOGS.md must have, without meanings.
func eventRows(t *testing.T) []string {
	rows := make(map[string]bool)
	add := func(level string, list []ast.Expr) {
		if name, keys := event(list); name != "" {
			rows["| `"+name+"` | "+level+" | "+strings.Join(keys, ", ")+" |"] = true
		}
	}
	forEachNodeFile(t, func(file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				add(levelOf(n), n.Args)
			case *ast.CompositeLit:
				add("always", n.Elts)
			}
			return true
		})
	})
	return slices.Sorted(maps.Keys(rows))
}

// rowsOf returns the first cells of the rows of a page's tables, with meanings
// left out. A row must have one.
func rowsOf(t *testing.T, page string, cells int) []string {
	raw, err := os.ReadFile(filepath.Join("..", "..", "docs", page))
	must.NoError(t, err)
	var rows []string
	for line := range strings.SplitSeq(string(raw), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		parts := strings.SplitN(line, "|", cells+2)
		must.NotEq(t, "", strings.Trim(parts[cells+1], " |"), must.Sprint(line))
		rows = append(rows, strings.Join(parts[:cells+1], "|")+"|")
	}
	slices.Sort(rows)
	return rows
}

func TestLogsPageIsComplete(t *testing.T) {
	want := eventRows(t)
	must.Positive(t, len(want))
	must.Eq(t, want, rowsOf(t, "LOGS.md", 3))
}

var metricName = regexp.MustCompile(`^jacinthgate_[a-z_]+`)

func TestMetricsPageIsComplete(t *testing.T) {
	names := make(map[string]bool)
	forEachNodeFile(t, func(file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			if e, ok := n.(ast.Expr); ok {
				if name := metricName.FindString(text(e)); name != "" {
					names["| `"+name+"` |"] = true
				}
			}
			return true
		})
	})
	must.Positive(t, len(names))
	must.Eq(t, slices.Sorted(maps.Keys(names)), rowsOf(t, "METRICS.md", 1))
}
