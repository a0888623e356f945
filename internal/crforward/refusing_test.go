package crforward_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crroute"
)

// TestRefusingServer guards against refusals of a server that its gate does not count, against a refusal that reaches the client as
// anything but "not run", and against more retries than the ratio allows.
func TestRefusingServer(t *testing.T) {
	const requests = 600
	c := newCluster(t)
	from, one, two := c.addNode("ledger"), c.addNode("photos"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/r/", "photos", crroute.Repeatable))
	from.warmUp(t, "GET", "/r/x", one, two)
	var asked, refused atomic.Int64
	one.backend.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		if asked.Add(1)%2 == 0 {
			return
		}
		refused.Add(1)
		w.Header().Set(headerNames.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	retries := from.Counters.Value("retries")
	for i := range requests {
		resp, _, err := from.send(context.Background(), "GET", "/r/x", fmt.Sprintf("request-%d", i), nil)
		qt.Assert(t, err, qt.IsNil)
		if resp.StatusCode != http.StatusOK {
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			qt.Assert(t, resp.Header.Get(headerNames.RetryAfter) != "", qt.IsTrue)
		}
	}
	qt.Assert(t, refused.Load() > 0, qt.IsTrue)
	qt.Assert(t, one.Counters.Value("server_refusals"), qt.Equals, refused.Load())
	retries = from.Counters.Value("retries") - retries
	qt.Assert(t, retries > 0 && retries <= requests/5+4, qt.IsTrue, qt.Commentf("%d retries", retries))
}
