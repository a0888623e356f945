package pkg_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestLibraryPageShowsTheExamples guards against programs in docs/library.md that differ from the compiled examples, or that are
// too long for a first example.
func TestLibraryPageShowsTheExamples(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/library.md")
	c.Assert(err, qt.IsNil)
	programs := regexp.MustCompile("(?s)stands in `pkg/([a-z_/]+_test\\.go)` with its imports:\n\n```go\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	c.Assert(programs, qt.HasLen, strings.Count(string(page), "```go"))
	var packages []string
	for _, p := range programs {
		source, err := os.ReadFile(filepath.FromSlash(p[1]))
		c.Assert(err, qt.IsNil)
		c.Assert(strings.Contains(string(source), "\n"+p[2]), qt.IsTrue, qt.Commentf("%s differs from docs/library.md", p[1]))
		c.Assert(strings.Count(p[2], "\n") < 40, qt.IsTrue, qt.Commentf("%s is too long", p[1]))
		c.Assert(regexp.MustCompile(`(?m)^\t// (Output|Unordered output):$`).MatchString(p[2]), qt.IsTrue, qt.Commentf("%s is not run", p[1]))
		packages = append(packages, filepath.Dir(p[1]))
	}
	c.Assert(packages, qt.DeepEquals, []string{"cradmission", "crbudget", "crrecord", "crlog"})
}
