package crclock_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// promising are the packages that grant something to others for a time: leases, confirmations, claims.
var promising = []string{"internal/crreplica", "internal/crspread", "internal/crkeeper"}

// TestPromisesCountSuspension guards against a grant that is measured by the steady clock, which a machine that was suspended
// holds for longer than others do. The time of day, in Unix milliseconds, may be read.
func TestPromisesCountSuspension(t *testing.T) {
	for _, folder := range promising {
		files, err := filepath.Glob(filepath.Join("..", "..", folder, "*.go"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, files, qt.Not(qt.HasLen), 0)
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			qt.Check(t, steadyReadings(t, name), qt.HasLen, 0)
		}
	}
}

// steadyReadings returns the places where a file reads the clock of package time.
func steadyReadings(t *testing.T, name string) (out []string) {
	t.Helper()
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, name, nil, parser.SkipObjectResolution)
	qt.Assert(t, err, qt.IsNil)
	allowed := map[ast.Node]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		s, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if call, ok := s.X.(*ast.CallExpr); ok && s.Sel.Name == "UnixMilli" {
			allowed[call.Fun] = true
		}
		x, ok := s.X.(*ast.Ident)
		if ok && x.Name == "time" && !allowed[s] {
			switch s.Sel.Name {
			case "Now", "Since", "Until":
				out = append(out, fmt.Sprintf("%s: time.%s", set.Position(s.Pos()), s.Sel.Name))
			}
		}
		return true
	})
	return out
}
