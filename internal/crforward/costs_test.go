package crforward_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crroute"
)

// answerAfterCalls returns a handler that answers after calls to a path, made one after the other through the entrance
// of the server's own node.
func (n *node) answerAfterCalls(path string, times int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for i := range times {
			resp, _, err := n.send(r.Context(), "GET", path, fmt.Sprintf("%s.%d", r.Header.Get(headerNames.RequestID), i), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
		}
	}
}

// TestCostOfChain guards against entrances that admit requests of a call chain regardless of the pressure at its end.
// When nodes started under load, it was unknown for seconds which requests were calls, and the cost of a route seemed
// to consist of its first service only.
func TestCostOfChain(t *testing.T) {
	const (
		calls   = 3
		callFor = 20 * time.Millisecond
	)
	c := newCluster(t)
	nodes := []*node{c.addNode("books"), c.addNode("ledger"), c.addNode("photos")}
	c.putRoutes(3, 0, newRoute("/l/", "ledger", crroute.Repeatable), newRoute("/p/", "photos", crroute.Repeatable))
	nodes[1].backend.setHandler(nodes[1].answerAfterCalls("/p/x", calls))
	nodes[2].backend.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(callFor) })
	for _, n := range nodes {
		n.waitForStatus(t, "/nowhere", http.StatusNotFound)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, n := range nodes {
		for range 2 {
			wg.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					// A run that fails ends early; only successful runs count for the cost.
					_, _, _ = n.send(ctx, "GET", "/l/x", fmt.Sprint("l-", i), nil)
				}
			})
		}
	}
	defer wg.Wait()
	defer cancel()
	eventually(t, func() bool {
		whole := 0
		for _, n := range nodes {
			cost := n.dumpedRoute(t, "/l/").CostMS
			if cost == nil {
				continue
			}
			qt.Assert(t, cost["photos"] >= float64(calls*callFor.Milliseconds())/2, qt.IsTrue, qt.Commentf("node %s estimates the cost as %v", n.Settings.Name, cost))
			whole++
		}
		return whole == len(nodes)
	})
}
