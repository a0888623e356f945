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

// TestDeadlineAfterSuspension guards against a request whose node was suspended while it held it, and that then reaches a
// server with more time than its client has left, or with none.
func TestDeadlineAfterSuspension(t *testing.T) {
	for _, test := range []struct {
		name string
		// service is that of the route; the entrance is beside the server of ledger.
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
					// Each look at the clocks after the first one of a request finds that the machine slept in between.
					return time.Duration(slept.Swap(int64(test.slept)))
				}
				return 0
			}
			from := c.add("ledger")
			c.suspended = nil
			to := from
			if test.service != "ledger" {
				to = c.add(test.service)
			}
			r := route("/l/", test.service, crroute.Repeatable)
			r.Timeout = 10 * time.Second
			c.put(3, 0, r)
			from.until(t, "/l/x", http.StatusOK)
			ran := to.backend.ran.Load()
			asleep.Store(true)
			resp, _, err := from.send(t.Context(), "GET", "/l/x", "a", nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, resp.StatusCode, qt.Equals, test.status)
			if test.status != http.StatusOK {
				qt.Assert(t, to.backend.ran.Load(), qt.Equals, ran)
				return
			}
			to.backend.mu.Lock()
			defer to.backend.mu.Unlock()
			left, err := strconv.Atoi(to.backend.last.Header.Get(names.Timeout))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, time.Duration(left)*time.Millisecond <= test.most, qt.IsTrue, qt.Commentf("%d ms", left))
		})
	}
}
