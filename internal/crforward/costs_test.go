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

// calling answers after calls to a path, one after the other, through the entrance of the server's node.
func (n *node) calling(path string, times int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for i := range times {
			resp, _, err := n.send(r.Context(), "GET", path, fmt.Sprintf("%s.%d", r.Header.Get(names.RequestID), i), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
		}
	}
}

// TestCostOfChain guards against entrances that let chains in whatever the pressure at their end: at a start under load they
// held for seconds that a request takes nothing but its first service, since nobody knew yet which requests were calls.
func TestCostOfChain(t *testing.T) {
	const (
		calls   = 3
		callFor = 20 * time.Millisecond
	)
	c := newCluster(t)
	nodes := []*node{c.add("books"), c.add("ledger"), c.add("photos")}
	c.put(3, 0, route("/l/", "ledger", crroute.Repeatable), route("/p/", "photos", crroute.Repeatable))
	nodes[1].backend.set(nodes[1].calling("/p/x", calls))
	nodes[2].backend.set(func(http.ResponseWriter, *http.Request) { time.Sleep(callFor) })
	for _, n := range nodes {
		n.until(t, "/nowhere", http.StatusNotFound)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, n := range nodes {
		for range 2 {
			wg.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					// A failure ends a run early; the cost is of good ones.
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
			cost := n.learnedOf(t, "/l/").CostMS
			if cost == nil {
				continue
			}
			qt.Assert(t, cost["photos"] >= float64(calls*callFor.Milliseconds())/2, qt.IsTrue, qt.Commentf("%s holds %v", n.Settings.Name, cost))
			whole++
		}
		return whole == len(nodes)
	})
}
