package crforward_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crroute"
)

// dumpedRoute is the state of a route in a node's dump.
type dumpedRoute struct {
	Name    string             `json:"name"`
	Clients bool               `json:"from_clients"`
	CostMS  map[string]float64 `json:"cost_ms"`
}

func (n *node) dumpedRoute(t *testing.T, route string) dumpedRoute {
	t.Helper()
	raw, err := json.Marshal(n.Dump(time.Now()))
	qt.Assert(t, err, qt.IsNil)
	var dump struct {
		Routes []dumpedRoute `json:"routes"`
	}
	qt.Assert(t, json.Unmarshal(raw, &dump), qt.IsNil)
	for _, r := range dump.Routes {
		if r.Name == route {
			return r
		}
	}
	return dumpedRoute{}
}

// TestHints guards against a node that starts under load and admits everything because it knows neither the origin nor
// the cost of requests, although all other nodes know them.
func TestHints(t *testing.T) {
	c := newCluster(t)
	from, to := c.addNode("ledger"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Repeatable))
	to.backend.setHandler(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(20 * time.Millisecond) })
	from.warmUp(t, "GET", "/p/x", to)
	for i := range 30 {
		_, _, err := from.send(context.Background(), "GET", "/p/x", fmt.Sprint("learn-", i), nil)
		qt.Assert(t, err, qt.IsNil)
	}
	learned := from.dumpedRoute(t, "/p/")
	qt.Assert(t, learned.Clients, qt.IsTrue)
	qt.Assert(t, learned.CostMS["photos"] >= 20, qt.IsTrue, qt.Commentf("%v", learned))
	// Reports are sent every 2 s.
	eventually(t, func() bool {
		newNode := c.addNode("ledger")
		end := time.Now().Add(time.Second)
		for time.Now().Before(end) {
			got := newNode.dumpedRoute(t, "/p/")
			if got.Clients && got.CostMS["photos"] >= 20 {
				return true
			}
			time.Sleep(10 * time.Millisecond)
		}
		return false
	})
}

// TestHintsWhileRunning guards against an entrance that admits everything until it has learned from its own few
// requests what other nodes know already. The more entrances there are, the fewer requests each of them sees.
func TestHintsWhileRunning(t *testing.T) {
	c := newCluster(t)
	from, to, other := c.addNode("ledger"), c.addNode("photos"), c.addNode("ledger")
	c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Repeatable))
	to.backend.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	from.warmUp(t, "GET", "/p/x", to)
	for i := range 30 {
		_, _, err := from.send(context.Background(), "GET", "/p/x", fmt.Sprint("learn-", i), nil)
		qt.Assert(t, err, qt.IsNil)
	}
	other.waitForStatus(t, "/nowhere", http.StatusNotFound)
	qt.Assert(t, other.dumpedRoute(t, "/p/"), qt.DeepEquals, dumpedRoute{})
	since := time.Now()
	eventually(t, func() bool {
		// The request has no time to run, so its answer contains no cost.
		req, err := http.NewRequest("GET", "http://"+other.entrance+"/p/x", nil)
		qt.Assert(t, err, qt.IsNil)
		req.Host = "app.example"
		req.Header.Set(headerNames.RequestID, "hopeless")
		req.Header.Set(headerNames.Timeout, "0")
		resp, err := http.DefaultTransport.RoundTrip(req)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.Body.Close(), qt.IsNil)
		got := other.dumpedRoute(t, "/p/")
		return got.Clients && got.CostMS["photos"] >= 20
	})
	// The other node reports within 2 s, and this one asks every 300 ms.
	qt.Assert(t, time.Since(since) < 3*time.Second, qt.IsTrue)
}

// TestHintsFailOnce guards against a node that stops exchanging hints after its coordinator was too busy once.
func TestHintsFailOnce(t *testing.T) {
	// Both links may start with the only coordinator.
	const links = 2
	var calls atomic.Int32
	core := &fakeCoordinator{
		view: func(c *fakeCoordinator) *crwire.CoreView {
			return &crwire.CoreView{Voters: []string{c.address}, Confirmed: true}
		},
		watch: func(ctx context.Context, send func(*crwire.DocumentFeed) error) error {
			// A silent feed would be closed, and another one opened.
			var err error
			crpause.Every(ctx, 100*time.Millisecond, func() { err = errors.Join(err, send(feedMessage(7, "[]", true))) })
			return err
		},
		hints: func(h *crwire.RouteHints) (*crwire.RouteHints, error) {
			if calls.Add(1) <= links {
				return nil, crcode.New(crcode.Stopping, "busy")
			}
			if !h.GetWant() {
				return &crwire.RouteHints{}, nil
			}
			return &crwire.RouteHints{Hints: []*crwire.RouteHint{{Route: "/p/", Origin: 1, CostMs: map[string]float32{"photos": 50}}}}, nil
		},
	}
	core.start(t)
	n := (&cluster{t: t, seed: core.address}).addNode("ledger")
	t.Cleanup(n.stop)
	eventually(t, func() bool { return n.dumpedRoute(t, "/p/").Clients })
	qt.Assert(t, calls.Load() > links, qt.IsTrue)
}

// TestAbsentService guards against requests that are admitted, run and then fail because a service that their run
// calls has no server. After a power failure the services return one after the other.
func TestAbsentService(t *testing.T) {
	c := newCluster(t)
	e := &crwire.Endpoint{Identity: crwire.Identity{Self: crwire.Peer{Name: "earlier", Incarnation: "1", Role: crwire.RoleControl}}, Mux: &crwire.Mux{}}
	t.Cleanup(e.Close)
	s, err := e.Session(t.Context(), c.seed)
	qt.Assert(t, err, qt.IsNil)
	_, err = crwire.Call[crwire.RouteHints](t.Context(), s, crcoord.MethodHints, &crwire.RouteHints{Hints: []*crwire.RouteHint{
		{Route: "/p/", Origin: 1, CostMs: map[string]float32{"ledger": 20, "photos": 50}},
		{Route: "/l/", Origin: 1, CostMs: map[string]float32{"ledger": 20}},
	}})
	qt.Assert(t, err, qt.IsNil)
	n := c.addNode("ledger")
	c.putRoutes(3, 0, newRoute("/p/", "ledger", crroute.Once), newRoute("/l/", "ledger", crroute.Once))
	n.waitForStatus(t, "/l/x", http.StatusOK)
	send := func(path string) (refused int, ran int64) {
		before := n.backend.runs.Load()
		for i := range 40 {
			resp, _, err := n.send(context.Background(), "POST", path, fmt.Sprint("absent-", i), nil)
			qt.Assert(t, err, qt.IsNil)
			if resp.StatusCode == http.StatusServiceUnavailable {
				refused++
			}
		}
		return refused, n.backend.runs.Load() - before
	}
	refused, ran := send("/p/x")
	qt.Assert(t, refused >= 30, qt.IsTrue, qt.Commentf("%d of 40 refused", refused))
	qt.Assert(t, ran >= 1 && ran <= 10, qt.IsTrue, qt.Commentf("%d of 40 ran; a few must, to update the cost", ran))
	refused, ran = send("/l/x")
	qt.Assert(t, refused, qt.Equals, 0)
	qt.Assert(t, ran, qt.Equals, int64(40))
	// All requests are admitted as soon as the service has a server.
	c.addNode("photos")
	eventually(t, func() bool {
		refused, _ := send("/p/x")
		return refused == 0
	})
}
