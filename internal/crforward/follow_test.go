package crforward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOneCoordinator guards against a primary link that never gets the only remaining coordinator, and with it the
// directory, because the secondary link uses it.
func TestOneCoordinator(t *testing.T) {
	now := time.Unix(1, 0)
	var f coordinators
	f.configure([]string{"a"})
	qt.Assert(t, f.claim("a", secondaryLink), qt.IsTrue)
	qt.Assert(t, f.claim("a", primaryLink), qt.IsTrue)
	qt.Assert(t, f.claim("a", secondaryLink), qt.IsFalse)
	qt.Assert(t, f.claim("b", secondaryLink), qt.IsTrue)
	f.released(now, "a", primaryLink)
	qt.Assert(t, f.claim("a", secondaryLink), qt.IsTrue)
}

// TestFailedLast guards against a coordinator that was just lost but is tried before the others.
func TestFailedLast(t *testing.T) {
	now := time.Unix(1, 0)
	var f coordinators
	f.configure([]string{"a", "b", "c"})
	f.update([]string{"b", "c"}, nil)
	f.released(now, "b", primaryLink)
	for range 20 {
		qt.Assert(t, f.candidates(now.Add(time.Second)), qt.DeepEquals, []string{"c", "a", "b"})
	}
	qt.Assert(t, f.candidates(now.Add(time.Minute))[2], qt.Equals, "a")
}

// TestTwoCoordinators guards against both links using the same coordinator although there is another one.
func TestTwoCoordinators(t *testing.T) {
	var f coordinators
	f.configure([]string{"a", "b"})
	qt.Assert(t, f.claim("b", secondaryLink), qt.IsTrue)
	for range 20 {
		qt.Assert(t, f.candidates(time.Unix(1, 0)), qt.DeepEquals, []string{"a", "b"})
	}
}
