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

// granting lists the packages that grant leases, confirmations or claims to other processes for a limited time.
var granting = []string{"internal/crreplica", "internal/crspread", "internal/crkeeper", "pkg/crquota"}

// TestPromisesCountSuspension guards against a grant that is measured by the monotonic clock of package time: a process
// whose machine was suspended would use the grant for longer than it was given. Reading the time of day in Unix
// milliseconds is allowed.
func TestPromisesCountSuspension(t *testing.T) {
	for _, folder := range granting {
		files, err := filepath.Glob(filepath.Join("..", "..", folder, "*.go"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, files, qt.Not(qt.HasLen), 0)
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			qt.Check(t, monotonicReadings(t, name), qt.HasLen, 0)
		}
	}
}

// monotonicReadings returns the positions at which a file reads the clock of package time.
func monotonicReadings(t *testing.T, name string) (out []string) {
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
