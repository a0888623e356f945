package crnode

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crwire"
)

// TestSlowStartOfStartedServers guards against a server that gets full load right after its start, and against slow
// starts of servers that were already serving.
func TestSlowStartOfStartedServers(t *testing.T) {
	c := qt.New(t)
	n := &Node{}
	n.init()
	update := func(of ...string) map[string]bool {
		var entries []*crwire.DirectoryEntry
		for _, e := range of {
			entries = append(entries, &crwire.DirectoryEntry{Node: e[:1], Incarnation: e[1:2], Instance: e[2:], State: 2, Slots: 8})
		}
		n.updateServers("ledger", entries)
		cold := map[string]bool{}
		for name, t := range n.service("ledger").targets {
			if !t.started.IsZero() {
				cold[name] = true
			}
		}
		return cold
	}
	c.Assert(update("a11", "b11"), qt.DeepEquals, map[string]bool{})
	c.Assert(update("a11", "b12"), qt.DeepEquals, map[string]bool{"b": true}, qt.Commentf("another backend server"))
	at := n.service("ledger").targets["b"].started
	c.Assert(update("a21", "b12"), qt.DeepEquals, map[string]bool{"a": true, "b": true}, qt.Commentf("another node"))
	c.Assert(n.service("ledger").targets["b"].started, qt.Equals, at)
	c.Assert(update("b12"), qt.DeepEquals, map[string]bool{"b": true})
	c.Assert(update("a21", "b12", "c11"), qt.DeepEquals, map[string]bool{"a": true, "b": true, "c": true})
	var full []string
	for i := range 20 {
		full = append(full, string(rune('a'+i))+"99")
	}
	cold := update(full...)
	c.Assert(cold["a"], qt.IsTrue)
	c.Assert(cold["t"], qt.IsFalse, qt.Commentf("may only have been chosen anew"))
}
