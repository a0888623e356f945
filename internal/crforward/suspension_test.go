package crforward_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crroute"
)

// TestDeadlineAfterSuspension guards against a node that was suspended while it held a request and then sends the
// request to a server with more time than its client has left, or with none.
func TestDeadlineAfterSuspension(t *testing.T) {
	for _, test := range []struct {
		name string
		// service is the service of the route; the entrance is beside the server of ledger.
		service string
		slept   time.Duration
		status  int
		most    time.Duration
	}{
		{"own server", "ledger", 3 * time.Second, http.StatusOK, 2 * time.Second},
		{"own server, too late", "ledger", 6 * time.Second, http.StatusServiceUnavailable, 0},
		{"other node", "photos", 3 * time.Second, http.StatusOK, 2 * time.Second},
		{"other node, too late", "photos", 6 * time.Second, http.StatusServiceUnavailable, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t)
			var slept atomic.Int64
			var asleep atomic.Bool
			c.suspended = func() time.Duration {
				if asleep.Load() {
					// After the first reading of the clocks for a request, each reading finds that the machine was
					// suspended in between.
					return time.Duration(slept.Swap(int64(test.slept)))
				}
				return 0
			}
			from := c.addNode("ledger")
			c.suspended = nil
			to := from
			if test.service != "ledger" {
				to = c.addNode(test.service)
			}
			r := newRoute("/l/", test.service, crroute.Repeatable)
			r.Timeout = 10 * time.Second
			c.putRoutes(3, 0, r)
			from.waitForStatus(t, "/l/x", http.StatusOK)
			ran := to.backend.runs.Load()
			asleep.Store(true)
			resp, _, err := from.send(t.Context(), "GET", "/l/x", "a", nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, resp.StatusCode, qt.Equals, test.status)
			if test.status != http.StatusOK {
				qt.Assert(t, to.backend.runs.Load(), qt.Equals, ran)
				return
			}
			to.backend.mu.Lock()
			defer to.backend.mu.Unlock()
			left, err := strconv.Atoi(to.backend.last.Header.Get(headerNames.Timeout))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, time.Duration(left)*time.Millisecond <= test.most, qt.IsTrue, qt.Commentf("%d ms", left))
		})
	}
}
