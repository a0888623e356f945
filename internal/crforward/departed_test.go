package crforward_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crroute"
)

// leaveAnnouncements are the ways in which a server announces that it leaves.
var leaveAnnouncements = map[string]func(n *node) error{
	"deregistered": func(n *node) error {
		return n.Deregister(context.Background(), time.Now(), n.backend.id, n.serverStart)
	},
	"draining": func(n *node) error { return n.report(true) },
}

// TestLeaveIsDurable guards against an acknowledged departure that is forgotten when the node and the coordinators are
// killed at the same moment: at the acknowledgement it must be on disk.
func TestLeaveIsDurable(t *testing.T) {
	t.Parallel()
	for name, leave := range leaveAnnouncements {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			from, one := c.addNode("ledger"), c.addNode("photos")
			c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Repeatable))
			from.warmUp(t, "GET", "/p/x", one)
			for i := range 3 {
				one.serverStart = one.serverStart.Add(time.Duration(i) * time.Millisecond)
				qt.Assert(t, one.report(false), qt.IsNil)
				qt.Assert(t, leave(one), qt.IsNil)
				raw, err := os.ReadFile(filepath.Join(c.coord.Settings.DataDir, "notices"))
				qt.Assert(t, err, qt.IsNil)
				var saved crwire.SavedNotices
				qt.Assert(t, proto.Unmarshal(raw, &saved), qt.IsNil)
				stored := slices.ContainsFunc(saved.GetNotices(), func(n *crwire.DirectoryNotice) bool {
					return n.GetVersion() == uint64(one.serverStart.UnixMilli()) && strings.HasSuffix(n.GetKey(), "/"+one.backend.id)
				})
				qt.Assert(t, stored, qt.IsTrue, qt.Commentf("departure %d: %v", i, saved.GetNotices()))
			}
		})
	}
}

// TestLeaveIsRefusedWithoutCoordinators guards against a departure that is acknowledged while no coordinator can store
// it. The server gets no further request nevertheless, and a repeated announcement is acknowledged later.
func TestLeaveIsRefusedWithoutCoordinators(t *testing.T) {
	t.Parallel()
	for name, leave := range leaveAnnouncements {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			from, one, two := c.addNode("ledger"), c.addNode("photos"), c.addNode("photos")
			c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Repeatable))
			from.warmUp(t, "GET", "/p/x", one, two)
			c.stopCoord()
			for range 2 {
				start := time.Now()
				qt.Assert(t, crcode.Of(leave(one)), qt.Equals, crcode.NotStored)
				qt.Assert(t, time.Since(start) < time.Second, qt.IsTrue)
			}
			ran := one.backend.runs.Load()
			for range 50 {
				_, _, err := from.send(context.Background(), "GET", "/p/x", "late", nil)
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Assert(t, one.backend.runs.Load()-ran, qt.Equals, int64(0))
			inner, err := net.Listen("tcp", c.seed)
			qt.Assert(t, err, qt.IsNil)
			c.startCoord(inner, c.coord.Settings.DataDir, false)
			eventually(t, func() bool { return leave(one) == nil })
			_, _, err = from.send(context.Background(), "GET", "/p/x", "later", nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, one.backend.runs.Load()-ran, qt.Equals, int64(0))
		})
	}
}

// TestLeaveOutlivesRestart guards against a server that gets requests again after it has announced that it leaves:
// its node restarts and then receives a delayed report of that lifetime.
func TestLeaveOutlivesRestart(t *testing.T) {
	t.Parallel()
	for name, leave := range leaveAnnouncements {
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
	qt.Assert(t, one.Deregister(context.Background(), time.Now(), "next", born), qt.IsNil)
	ran := one.backend.runs.Load()
	one.backend.id, one.serverStart = "next", born
	qt.Assert(t, one.report(false), qt.IsNil)
	for range 50 {
		_, _, err := from.send(context.Background(), "GET", "/p/x", "late", nil)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, one.backend.runs.Load()-ran, qt.Equals, int64(0))
}
