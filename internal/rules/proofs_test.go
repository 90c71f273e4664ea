package rules

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"
)

// proof matches a test in docs/PROOFS.md, such as `state/model.TestParse`.
var proof = regexp.MustCompile("`([a-z]+(?:/[a-z0-9]+)*)\\.(Test[A-Za-z0-9]+)`")

func TestProofsNameTestsThatExist(t *testing.T) {
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "PROOFS.md"))
	must.NoError(t, err)
	named := proof.FindAllStringSubmatch(string(page), -1)
	must.Greater(t, 50, len(named), must.Sprint("the page's form has changed"))
	for _, m := range named {
		must.True(t, hasTest(t, filepath.Join(root, m[1]), m[2]), must.Sprint(m[0], " does not exist"))
	}
}

// hasTest reports whether a test file of dir declares a test.
func hasTest(t *testing.T, dir, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	must.NoError(t, err)
	for _, file := range files {
		f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		must.NoError(t, err)
		for _, d := range f.Decls {
			if fn, ok := d.(*ast.FuncDecl); ok && fn.Recv == nil && fn.Name.Name == name {
				return true
			}
		}
	}
	return false
}
