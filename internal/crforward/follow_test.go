package crforward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOneCoordinator guards against a node whose second tie holds the only coordinator left, so that the first one, which
// carries the directory, never gets it.
func TestOneCoordinator(t *testing.T) {
	now := time.Unix(1, 0)
	var f follower
	f.seeds([]string{"a"})
	qt.Assert(t, f.take("a", secondTie), qt.IsTrue)
	qt.Assert(t, f.take("a", firstTie), qt.IsTrue)
	qt.Assert(t, f.take("a", secondTie), qt.IsFalse)
	qt.Assert(t, f.take("b", secondTie), qt.IsTrue)
	f.drop(now, "a", firstTie)
	qt.Assert(t, f.take("a", secondTie), qt.IsTrue)
}

// TestFailedLast guards against a coordinator that was just lost and is tried before the others.
func TestFailedLast(t *testing.T) {
	now := time.Unix(1, 0)
	var f follower
	f.seeds([]string{"a", "b", "c"})
	f.learn([]string{"b", "c"}, nil)
	f.drop(now, "b", firstTie)
	for range 20 {
		qt.Assert(t, f.round(now.Add(time.Second)), qt.DeepEquals, []string{"c", "a", "b"})
	}
	qt.Assert(t, f.round(now.Add(time.Minute))[2], qt.Equals, "a")
}

// TestTwoCoordinators guards against two ties to the same coordinator while there is another.
func TestTwoCoordinators(t *testing.T) {
	var f follower
	f.seeds([]string{"a", "b"})
	qt.Assert(t, f.take("b", secondTie), qt.IsTrue)
	for range 20 {
		qt.Assert(t, f.round(time.Unix(1, 0)), qt.DeepEquals, []string{"a", "b"})
	}
}
