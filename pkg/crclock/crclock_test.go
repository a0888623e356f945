package crclock_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crclock"
)

// TestNow guards against a clock that follows the time of day or runs at another rate than the clock of package time.
func TestNow(t *testing.T) {
	c := qt.New(t)
	monotonicStart, start := time.Now(), crclock.Now()
	time.Sleep(20 * time.Millisecond)
	elapsedBefore := crclock.Since(start)
	monotonicElapsed := time.Since(monotonicStart)
	elapsedAfter := crclock.Since(start)
	c.Assert(elapsedBefore >= 20*time.Millisecond, qt.IsTrue)
	c.Assert(elapsedBefore <= monotonicElapsed+crclock.Suspended(), qt.IsTrue)
	c.Assert(elapsedAfter >= monotonicElapsed-time.Millisecond, qt.IsTrue)
	c.Assert(start.Round(0), qt.Equals, start, qt.Commentf("has a monotonic reading"))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		crclock.Now()
	}
}
