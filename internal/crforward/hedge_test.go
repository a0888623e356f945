package crforward_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crroute"
)

// hang makes a server not answer until its callers have disconnected. It returns the counter of such requests.
func (b *backend) hang() *atomic.Int64 {
	var asked atomic.Int64
	b.setHandler(func(_ http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		<-r.Context().Done()
	})
	return &asked
}

// TestSilentServer guards against a repeatable request that waits for an unresponsive server until its deadline
// although another server would answer. It also guards against a hedge of a request that may run only once.
func TestSilentServer(t *testing.T) {
	c := newCluster(t)
	from, one, two := c.addNode("ledger"), c.addNode("photos"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/r/", "photos", crroute.Repeatable), newRoute("/p/", "photos", crroute.Once))
	from.warmUp(t, "GET", "/r/x", one, two)
	from.warmUp(t, "POST", "/p/x", one, two)
	for i := range 40 {
		_, _, err := from.send(context.Background(), "GET", "/r/x", fmt.Sprintf("warm-%d", i), nil)
		qt.Assert(t, err, qt.IsNil)
	}
	hungCalls := one.backend.hang()
	for i := 0; hungCalls.Load() == 0; i++ {
		qt.Assert(t, i < 200, qt.IsTrue, qt.Commentf("the unresponsive server got no request"))
		begin := time.Now()
		resp, _, err := from.send(context.Background(), "GET", "/r/x", fmt.Sprintf("hedged-%d", i), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
		qt.Assert(t, time.Since(begin) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("answered after %v for a target of 1 s", time.Since(begin)))
	}
	secondHungCalls := two.backend.hang()
	for i := 0; secondHungCalls.Load() == 0; i++ {
		qt.Assert(t, i < 20, qt.IsTrue)
		before := hungCalls.Load() + secondHungCalls.Load()
		resp, _, err := from.send(context.Background(), "POST", "/p/x", fmt.Sprintf("once-%d", i), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusGatewayTimeout)
		qt.Assert(t, hungCalls.Load()+secondHungCalls.Load()-before, qt.Equals, int64(1))
	}
}

// TestSilentServerIsLeft guards against an unresponsive server that keeps its share of the requests because its
// callers disconnect before their deadlines.
func TestSilentServerIsLeft(t *testing.T) {
	c := newCluster(t)
	from, one, two := c.addNode("ledger"), c.addNode("photos"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Once))
	from.warmUp(t, "POST", "/p/x", one, two)
	one.backend.hang()
	const patience = 100 * time.Millisecond
	failed := 0
	for i := range 40 {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		if _, _, err := from.send(ctx, "POST", "/p/x", fmt.Sprintf("left-%d", i), nil); err != nil {
			failed++
		}
		cancel()
	}
	qt.Assert(t, failed <= 10, qt.IsTrue, qt.Commentf("%d of 40 callers got no answer", failed))
}
