package crforward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crroute"
)

// TestLeaveOutlivesRestart guards against a server that gets requests again after it has announced that it leaves:
// its node restarts and then receives a delayed report of that lifetime.
func TestLeaveOutlivesRestart(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(n *node) error{
		"deregistered": func(n *node) error { return n.Deregister(time.Now(), n.backend.id, n.serverStart) },
		"draining":     func(n *node) error { return n.report(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			from, one, two := c.addNode("ledger"), c.addNode("photos"), c.addNode("photos")
			c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Repeatable))
			from.warmUp(t, "GET", "/p/x", one, two)
			qt.Assert(t, leave(one), qt.IsNil)
			// The node is killed some time after it has acknowledged the announcement.
			time.Sleep(500 * time.Millisecond)
			one.cancel()
			<-one.done
			ran := one.backend.runs.Load()
			c.startNode(one, "photos", one.Settings.ServerAddress)
			eventually(t, func() bool {
				resp, err := http.Get("http://" + one.ready + "/ready")
				return err == nil && resp.StatusCode == 200
			})
			// This report was sent before the server left.
			one.sequence -= 2
			qt.Assert(t, one.report(false), qt.IsNil)
			// Callers avoid a server for 3 s after it has answered that it is stopping.
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				_, _, err := from.send(context.Background(), "GET", "/p/x", "late", nil)
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Assert(t, one.backend.runs.Load()-ran, qt.Equals, int64(0))
			one.serverStart = time.Now()
			qt.Assert(t, one.report(false), qt.IsNil)
			from.warmUp(t, "GET", "/p/x", one)
			eventually(t, func() bool {
				_, _, err := from.send(context.Background(), "GET", "/p/x", "next", nil)
				return err == nil && one.backend.runs.Load() > ran
			})
		})
	}
}

// TestLeaveBeforeReport guards against a delayed report that registers a server whose announcement to leave arrived
// first.
func TestLeaveBeforeReport(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	from, one, two := c.addNode("ledger"), c.addNode("photos"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Repeatable))
	from.warmUp(t, "GET", "/p/x", two)
	born := one.serverStart.Add(time.Second)
	qt.Assert(t, one.Deregister(time.Now(), "next", born), qt.IsNil)
	ran := one.backend.runs.Load()
	one.backend.id, one.serverStart = "next", born
	qt.Assert(t, one.report(false), qt.IsNil)
	for range 50 {
		_, _, err := from.send(context.Background(), "GET", "/p/x", "late", nil)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, one.backend.runs.Load()-ran, qt.Equals, int64(0))
}
