package crforward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crroute"
)

// TestLeaveOutlivesRestart guards against a server that is in use again after it has said that it leaves, since its node has
// restarted and a late report of it comes, or since its word comes before any report does.
func TestLeaveOutlivesRestart(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(n *node) error{
		"deregistered": func(n *node) error { return n.Deregister(time.Now(), n.backend.id, n.born) },
		"draining":     func(n *node) error { return n.report(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			from, one, two := c.add("ledger"), c.add("photos"), c.add("photos")
			c.put(3, 0, route("/p/", "photos", crroute.Repeatable))
			from.warm(t, "GET", "/p/x", one, two)
			qt.Assert(t, leave(one), qt.IsNil)
			// The node is killed some time after it has acknowledged.
			time.Sleep(500 * time.Millisecond)
			one.cancel()
			<-one.done
			ran := one.backend.ran.Load()
			c.run(one, "photos", one.Settings.ServerAddress)
			eventually(t, func() bool {
				resp, err := http.Get("http://" + one.ready + "/ready")
				return err == nil && resp.StatusCode == 200
			})
			// The report was sent before the server left.
			one.sequence -= 2
			qt.Assert(t, one.report(false), qt.IsNil)
			// Callers leave alone for 3 s what has told them that it stops.
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				_, _, err := from.send(context.Background(), "GET", "/p/x", "late", nil)
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Assert(t, one.backend.ran.Load()-ran, qt.Equals, int64(0))
			one.born = time.Now()
			qt.Assert(t, one.report(false), qt.IsNil)
			from.warm(t, "GET", "/p/x", one)
			eventually(t, func() bool {
				_, _, err := from.send(context.Background(), "GET", "/p/x", "next", nil)
				return err == nil && one.backend.ran.Load() > ran
			})
		})
	}
}

// TestLeaveBeforeReport guards against a late report that brings in a server whose word that it leaves came first.
func TestLeaveBeforeReport(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	from, one, two := c.add("ledger"), c.add("photos"), c.add("photos")
	c.put(3, 0, route("/p/", "photos", crroute.Repeatable))
	from.warm(t, "GET", "/p/x", two)
	born := one.born.Add(time.Second)
	qt.Assert(t, one.Deregister(time.Now(), "next", born), qt.IsNil)
	ran := one.backend.ran.Load()
	one.backend.id, one.born = "next", born
	qt.Assert(t, one.report(false), qt.IsNil)
	for range 50 {
		_, _, err := from.send(context.Background(), "GET", "/p/x", "late", nil)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, one.backend.ran.Load()-ran, qt.Equals, int64(0))
}
