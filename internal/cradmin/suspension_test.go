package cradmin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSuspensions guards against a suspension that is reported twice or not at all, and against the jitter between two clocks
// that is reported as a suspension.
func TestSuspensions(t *testing.T) {
	var s suspensionTracker
	for _, step := range []struct{ total, want time.Duration }{
		{0, 0},
		{3 * time.Millisecond, 0},
		{time.Second, time.Second},
		{time.Second - 5*time.Millisecond, 0},
		{time.Second + 9*time.Millisecond, 0},
		{time.Second + 10*time.Millisecond, 10 * time.Millisecond},
		{4 * time.Second, 4*time.Second - 1010*time.Millisecond},
	} {
		qt.Assert(t, s.observe(step.total), qt.Equals, step.want, qt.Commentf("%v", step.total))
	}
}
