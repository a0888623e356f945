package crforward_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crforward"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crroute"
)

// TestForgedReport guards against an acknowledgement without effect: after a forged report with too large a value, the
// server's announcement to leave is acknowledged, but the server still gets requests.
func TestForgedReport(t *testing.T) {
	t.Parallel()
	for name, forge := range map[string]func(r *crforward.Report){
		"sequence":     func(r *crforward.Report) { r.Sequence = 1 << 62 },
		"start":        func(r *crforward.Report) { r.Born = r.Born.Add(30 * time.Second) },
		"far start":    func(r *crforward.Report) { r.Born = r.Born.AddDate(3000, 0, 0) },
		"slots":        func(r *crforward.Report) { r.Slots = 1 << 40 },
		"time to warm": func(r *crforward.Report) { r.Cold = 1 << 62 },
		"other id":     func(r *crforward.Report) { r.ID, r.Born = "other", r.Born.Add(time.Second) },
		"id":           func(r *crforward.Report) { r.ID = strings.Repeat("x", 1<<20) },
		"id of bytes":  func(r *crforward.Report) { r.ID = "a\r\nX-Caller: other" },
	} {
		for leaving, leave := range map[string]func(n *node) error{
			"draining": func(n *node) error { return n.report(true) },
			"deregistered": func(n *node) error {
				return n.Deregister(context.Background(), time.Now(), n.backend.id, n.serverStart)
			},
		} {
			t.Run(name+"/"+leaving, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				from, one, two := c.addNode("ledger"), c.addNode("photos"), c.addNode("photos")
				c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Repeatable))
				from.warmUp(t, "GET", "/p/x", one, two)
				forged := crforward.Report{
					ID: one.backend.id, Service: "photos", Address: one.Settings.ServerAddress, Born: one.serverStart, Sequence: one.sequence + 1, Slots: 20,
				}
				forge(&forged)
				forgedErr := one.Register(context.Background(), time.Now(), forged)
				qt.Assert(t, one.report(false) == nil || forgedErr == nil, qt.IsTrue)
				err := leave(one)
				if err != nil {
					// Without an acknowledgement nothing is guaranteed.
					qt.Assert(t, crcode.Of(err), qt.Equals, crcode.StaleIncarnation)
					return
				}
				time.Sleep(20 * time.Millisecond) // calls admitted before reach the server meanwhile
				ran := one.backend.runs.Load()
				for range 40 {
					resp, _, err := from.send(context.Background(), "GET", "/p/x", "late", nil)
					qt.Assert(t, err, qt.IsNil)
					if name != "other id" {
						qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
					}
				}
				if name == "other id" {
					// The stand-in server does not check the expected server id; a real one answers 421 and does not
					// run the request.
					one.backend.mu.Lock()
					defer one.backend.mu.Unlock()
					qt.Assert(t, one.backend.last.Header.Get(headerNames.ExpectServer) == one.backend.id && one.backend.runs.Load() > ran, qt.IsFalse)
					return
				}
				qt.Assert(t, one.backend.runs.Load(), qt.Equals, ran)
			})
		}
	}
}
