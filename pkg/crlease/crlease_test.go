package crlease_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crlease"
)

const bound = 5 * time.Second

// at returns a time in milliseconds.
func at(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }

func ExampleLease_Within() {
	var l crlease.Lease
	l.Answered(at(0), 7, 6)
	fmt.Println(l.Within(at(100), 6, bound))
	l.Applied(7)
	fmt.Println(l.Within(at(200), 7, bound), l.Within(at(5000), 7, bound))
	// Output:
	// false
	// true false
}

// TestLateReply guards against a lease that counts from the reply, or that a late reply shortens.
func TestLateReply(t *testing.T) {
	var l crlease.Lease
	l.Answered(at(1000), 7, 7)
	l.Answered(at(0), 7, 7)
	age, known := l.Age(at(1500), 7)
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, age, qt.Equals, 500*time.Millisecond)
	l = crlease.Lease{}
	l.Answered(at(0), 7, 7)
	qt.Assert(t, l.Within(at(4899), 7, bound), qt.IsTrue)
	qt.Assert(t, l.Within(at(4900), 7, bound), qt.IsFalse, qt.Commentf("2%% of the bound are for clock drift"))
}

// TestNothingKnown guards against a process that was just started and takes its configuration for current.
func TestNothingKnown(t *testing.T) {
	var l crlease.Lease
	l.Applied(7)
	qt.Assert(t, l.Within(at(0), 7, bound), qt.IsFalse)
	qt.Assert(t, l.Due(at(0)), qt.IsTrue)
}

// TestSuspension guards against a lease that outlives a suspension of the machine.
func TestSuspension(t *testing.T) {
	var l crlease.Lease
	l.Answered(at(0), 7, 7)
	qt.Assert(t, l.Within(at(100), 7, bound), qt.IsTrue)
	qt.Assert(t, l.Due(at(100)), qt.IsFalse)
	qt.Assert(t, l.Within(at(6100), 7, bound), qt.IsFalse)
	qt.Assert(t, l.Due(at(6100)), qt.IsTrue)
}

// TestNewerVersion guards against a reply that renews the lease of an older configuration, and against a lease that ends
// because configurations follow each other faster than they arrive.
func TestNewerVersion(t *testing.T) {
	var l crlease.Lease
	l.Answered(at(0), 7, 7)
	for i := range 100 {
		l.Answered(at(500*i), uint64(8+i), uint64(7+max(i-3, 0)))
		l.Applied(uint64(7 + max(i-2, 0)))
	}
	// Version 104 is in force; the reply that named it was to the request sent at 48 s.
	age, known := l.Age(at(49_500), 104)
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, age, qt.Equals, 1500*time.Millisecond)
	_, known = l.Age(at(49_500), 103)
	qt.Assert(t, known, qt.IsFalse, qt.Commentf("a request that still holds the previous table has no lease"))
	// A configuration that never arrives ends the lease.
	for i := range 100 {
		l.Answered(at(50_000+500*i), 200, 104)
	}
	qt.Assert(t, l.Within(at(100_000), 104, bound), qt.IsFalse)
	l.Applied(200)
	qt.Assert(t, l.Within(at(100_000), 200, bound), qt.IsTrue)
}
