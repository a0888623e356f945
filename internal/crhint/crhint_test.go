package crhint_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crhint"
	"github.com/citronramp/citronramp/internal/crwire"
)

func hint(route string, origin uint32, cost map[string]float32) *crwire.RouteHint {
	return &crwire.RouteHint{Route: route, Origin: origin, CostMs: cost}
}

// TestUpdate guards against hints that make a coordinator write to disk with every measurement, and against small changes
// that never add up to a stored one.
func TestUpdate(t *testing.T) {
	b := &crhint.Table{}
	qt.Assert(t, b.Update(hint("a", 1, map[string]float32{"x": 100})), qt.Equals, 1)
	qt.Assert(t, b.Update(hint("a", 1, map[string]float32{"x": 110})), qt.Equals, 0)
	qt.Assert(t, b.Update(hint("a", 1, map[string]float32{"x": 120})), qt.Equals, 0)
	qt.Assert(t, b.Update(hint("a", 1, map[string]float32{"x": 140})), qt.Equals, 1)
	qt.Assert(t, b.Update(hint("a", 2, nil)), qt.Equals, 1)
	qt.Assert(t, b.Update(hint("a", 0, map[string]float32{"x": 140, "y": 5})), qt.Equals, 1)
	got, number := b.ChangedSince(0)
	qt.Assert(t, len(got), qt.Equals, 1)
	b.Update(hint("a", 2, nil), hint("b", 1, nil))
	changed, _ := b.ChangedSince(number)
	qt.Assert(t, len(changed), qt.Equals, 1)
	qt.Assert(t, changed[0].Route, qt.Equals, "b")
	qt.Assert(t, got[0].Origin, qt.Equals, uint32(2))
	qt.Assert(t, got[0].CostMs, qt.DeepEquals, map[string]float32{"x": 140, "y": 5})
}

// TestBounds guards against a node that fills a coordinator's memory or disk, and against costs that are no valid numbers.
func TestBounds(t *testing.T) {
	b := &crhint.Table{}
	for i := range 5000 {
		b.Update(hint(fmt.Sprint("route-", i), 1, nil))
	}
	qt.Assert(t, len(b.Hints()) <= 2048, qt.IsTrue)
	b.Update(hint("route-4999", 1, nil))
	b = &crhint.Table{}
	costs := map[string]float32{"": 5, "nan": float32(math.NaN()), "inf": float32(math.Inf(1)), "below": -1, "good": 3}
	for i := range 100 {
		costs[fmt.Sprint("service-", i)] = 1
	}
	b.Update(hint("a", 1, costs), hint("", 1, nil), hint(strings.Repeat("n", 1000), 1, nil))
	got := b.Hints()
	qt.Assert(t, len(got), qt.Equals, 1)
	qt.Assert(t, len(got[0].CostMs) <= 16, qt.IsTrue)
	for _, bad := range []string{"", "nan", "inf", "below"} {
		_, ok := got[0].CostMs[bad]
		qt.Assert(t, ok, qt.IsFalse, qt.Commentf("%q", bad))
	}
}

// TestDecode guards against a book that changes when it is stored and read back, and against a damaged file that stops a
// coordinator.
func TestDecode(t *testing.T) {
	b := &crhint.Table{}
	b.Update(hint("a", 1, map[string]float32{"x": 100}), hint("b", 2, nil))
	raw, err := b.Encode()
	qt.Assert(t, err, qt.IsNil)
	again, err := crhint.Decode(raw)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again.Update(b.Hints()...), qt.Equals, 0)
	damaged, err := crhint.Decode([]byte("junk"))
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, len(damaged.Hints()), qt.Equals, 0)
}
