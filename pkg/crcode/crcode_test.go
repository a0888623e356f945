package crcode_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcode"
)

func ExampleError() {
	err := fmt.Errorf("admit: %w", crcode.New(crcode.Overloaded, "service %s", "ledger"))
	fmt.Println(crcode.Of(err), crcode.Of(err).Outcome())
	// Output: overloaded not_run
}

// TestDocumentedTableEqualsCode guards against a documented table that differs from the codes that are sent.
func TestDocumentedTableEqualsCode(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/result-codes.md")
	c.Assert(err, qt.IsNil)
	rows := regexp.MustCompile(`(?m)^\| \d+ .*$`).FindAllString(string(page), -1)
	var want []string
	for _, i := range crcode.All() {
		want = append(want, fmt.Sprintf("| %d | %s | %s | %d | %s |", i.Code, i.Name, i.Outcome, i.Status, i.Text))
	}
	c.Assert(rows, qt.DeepEquals, want)
}
