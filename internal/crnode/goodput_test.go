package crnode

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// TestGoodputCountsWholeAnswers guards against a goodput of a settlement period that includes refusals, error answers or
// the worth of another kind.
func TestGoodputCountsWholeAnswers(t *testing.T) {
	c := qt.New(t)
	var g goodput
	g.count("ledger/record", 100, answer{code: crcode.OK, status: 200})
	g.count("ledger/record", 90, answer{code: crcode.Replayed, status: 200})
	g.count("ledger/record", 100, answer{code: crcode.Overloaded})
	g.count("ledger/record", 100, answer{code: crcode.OK, status: 502})
	g.count("ledger/read", 1, answer{code: crcode.AnswerLost})
	c.Assert(g.snapshot(), qt.DeepEquals, map[string]kindGoodput{
		"ledger/record": {Offered: 4, Whole: 2, Worth: 190},
		"ledger/read":   {Offered: 1},
	})
}
