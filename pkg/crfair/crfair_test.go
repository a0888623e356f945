package crfair_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crfair"
)

var start = time.Unix(1000, 0)

// tolerance is the fraction by which one priority may be served less than the next.
const tolerance = 0.05

// TestBounded guards against state that grows with the number of organisations.
func TestBounded(t *testing.T) {
	var d crfair.Divider
	for i := range 30_000 {
		d.Record(start.Add(time.Duration(i)*time.Millisecond), crfair.Request{Service: "s", Organisation: fmt.Sprint(i), Work: 0.1}, true)
	}
	qt.Assert(t, d.Accounts() <= 10_000, qt.IsTrue, qt.Commentf("%d", d.Accounts()))
	d.Record(start.Add(time.Hour), crfair.Request{Service: "s", Organisation: "o", Work: 0.1}, true)
	qt.Assert(t, d.Accounts(), qt.Equals, 1)
}

func ExampleDivider() {
	var d crfair.Divider
	now := start
	send := func(organisation string, short bool) (excess bool, parts crfair.Parts) {
		return d.Record(now, crfair.Request{Service: "deep", Organisation: organisation, Work: 0.1}, short)
	}
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		send("calm", false)
		send("hot", false)
	}
	var calm, hot bool
	var parts crfair.Parts
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		calm, _ = send("calm", true)
		for range 4 {
			hot, parts = send("hot", true)
		}
	}
	// The service has capacity for half of the work, and all usual work is admitted.
	fmt.Printf("calm %t, hot %t, of its excess %.1f\n", calm, hot, parts.ExcessFraction(0.5, crfair.Usual{Total: 1, Own: 1}))
	// Output: calm false, hot true, of its excess 0.1
}

// TestExcessOrder guards against excess that is preferred to usual work, and against an important priority that is served less
// than the next one because one of its organisations exceeds its usual.
func TestExcessOrder(t *testing.T) {
	parts := crfair.Parts{Service: 0.5, Priority: 0.8}
	qt.Assert(t, parts.ExcessFraction(0.4, crfair.Usual{Total: 0.8, Own: 0.03, Next: 0.7}), qt.Equals, 0.03)
	f := parts.ExcessFraction(0.4, crfair.Usual{Total: 0.8, Own: 1, Next: 0.7})
	qt.Assert(t, math.Abs((1-parts.Priority)+parts.Priority*f-(0.7-tolerance)) < 1e-9, qt.IsTrue, qt.Commentf("%v", f))
	parts = crfair.Parts{Service: 0.5, Priority: 0.8, Top: 0.02}
	f = parts.ExcessFraction(0.4, crfair.Usual{Total: 0.8, Own: 0.8})
	qt.Assert(t, math.Abs(f-0.4) < 1e-9, qt.IsTrue, qt.Commentf("%v: 0.02 of the capacity, 0.4, is 0.4 of this excess", f))
	qt.Assert(t, crfair.Parts{}.ExcessFraction(0.4, crfair.Usual{Total: 0.4, Own: 0.4}), qt.Equals, 0.4)
}
