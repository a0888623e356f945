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

// silence makes a server keep silent until its callers have left, and counts them.
func (b *backend) silence() *atomic.Int64 {
	var asked atomic.Int64
	b.set(func(_ http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		<-r.Context().Done()
	})
	return &asked
}

// TestSilentServer guards against a repeatable request that waits for a server that has gone silent until its time is over,
// though another one would answer, and against a second server for one that may run once only.
func TestSilentServer(t *testing.T) {
	c := newCluster(t)
	from, one, two := c.add("ledger"), c.add("photos"), c.add("photos")
	c.put(3, 0, route("/r/", "photos", crroute.Repeatable), route("/p/", "photos", crroute.Once))
	from.warm(t, "GET", "/r/x", one, two)
	from.warm(t, "POST", "/p/x", one, two)
	for i := range 40 {
		_, _, err := from.send(context.Background(), "GET", "/r/x", fmt.Sprintf("warm-%d", i), nil)
		qt.Assert(t, err, qt.IsNil)
	}
	asked := one.backend.silence()
	for i := 0; asked.Load() == 0; i++ {
		qt.Assert(t, i < 200, qt.IsTrue, qt.Commentf("the silent server was never asked"))
		begin := time.Now()
		resp, _, err := from.send(context.Background(), "GET", "/r/x", fmt.Sprintf("hedged-%d", i), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
		qt.Assert(t, time.Since(begin) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("answered after %v for a target of 1 s", time.Since(begin)))
	}
	once := two.backend.silence()
	for i := 0; once.Load() == 0; i++ {
		qt.Assert(t, i < 20, qt.IsTrue)
		before := asked.Load() + once.Load()
		resp, _, err := from.send(context.Background(), "POST", "/p/x", fmt.Sprintf("once-%d", i), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusGatewayTimeout)
		qt.Assert(t, asked.Load()+once.Load()-before, qt.Equals, int64(1))
	}
}

// TestSilentServerIsLeft guards against a server that has gone silent and keeps its share of the requests, because its
// callers leave before the time of their requests is over.
func TestSilentServerIsLeft(t *testing.T) {
	c := newCluster(t)
	from, one, two := c.add("ledger"), c.add("photos"), c.add("photos")
	c.put(3, 0, route("/p/", "photos", crroute.Once))
	from.warm(t, "POST", "/p/x", one, two)
	one.backend.silence()
	const patience = 100 * time.Millisecond
	failed := 0
	for i := range 40 {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		if _, _, err := from.send(ctx, "POST", "/p/x", fmt.Sprintf("left-%d", i), nil); err != nil {
			failed++
		}
		cancel()
	}
	qt.Assert(t, failed <= 10, qt.IsTrue, qt.Commentf("%d of 40 callers left without an answer", failed))
}
