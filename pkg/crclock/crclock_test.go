package crclock_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crclock"
)

// TestNow guards against a clock that follows the time of day, or another pace than that of package time.
func TestNow(t *testing.T) {
	c := qt.New(t)
	steady, first := time.Now(), crclock.Now()
	time.Sleep(20 * time.Millisecond)
	earlier := crclock.Since(first)
	passed := time.Since(steady)
	later := crclock.Since(first)
	c.Assert(earlier >= 20*time.Millisecond, qt.IsTrue)
	c.Assert(earlier <= passed+crclock.Suspended(), qt.IsTrue)
	c.Assert(later >= passed-time.Millisecond, qt.IsTrue)
	c.Assert(first.Round(0), qt.Equals, first, qt.Commentf("has a monotonic reading"))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		crclock.Now()
	}
}
