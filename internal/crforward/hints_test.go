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

// learnedRoute is what a node's dump tells of a route.
type learnedRoute struct {
	Name    string             `json:"name"`
	Clients bool               `json:"from_clients"`
	CostMS  map[string]float64 `json:"cost_ms"`
}

func (n *node) learnedOf(t *testing.T, route string) learnedRoute {
	t.Helper()
	raw, err := json.Marshal(n.Dump(time.Now()))
	qt.Assert(t, err, qt.IsNil)
	var dump struct {
		Routes []learnedRoute `json:"routes"`
	}
	qt.Assert(t, json.Unmarshal(raw, &dump), qt.IsNil)
	for _, r := range dump.Routes {
		if r.Name == route {
			return r
		}
	}
	return learnedRoute{}
}

// TestHints guards against a node that starts under load and lets everything in because it knows neither which requests are
// clients' nor what they cost, while all others know it.
func TestHints(t *testing.T) {
	c := newCluster(t)
	from, to := c.add("ledger"), c.add("photos")
	c.put(3, 0, route("/p/", "photos", crroute.Repeatable))
	to.backend.set(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(20 * time.Millisecond) })
	from.warm(t, "GET", "/p/x", to)
	for i := range 30 {
		_, _, err := from.send(context.Background(), "GET", "/p/x", fmt.Sprint("learn-", i), nil)
		qt.Assert(t, err, qt.IsNil)
	}
	known := from.learnedOf(t, "/p/")
	qt.Assert(t, known.Clients, qt.IsTrue)
	qt.Assert(t, known.CostMS["photos"] >= 20, qt.IsTrue, qt.Commentf("%v", known))
	// Reports go out every 2 s.
	eventually(t, func() bool {
		late := c.add("ledger")
		end := time.Now().Add(time.Second)
		for time.Now().Before(end) {
			got := late.learnedOf(t, "/p/")
			if got.Clients && got.CostMS["photos"] >= 20 {
				return true
			}
			time.Sleep(10 * time.Millisecond)
		}
		return false
	})
}

// TestHintsWhileRunning guards against an entrance that lets everything in until it has learned by its own few requests what
// others know already: the more entrances there are, the fewer requests each of them sees.
func TestHintsWhileRunning(t *testing.T) {
	c := newCluster(t)
	from, to, other := c.add("ledger"), c.add("photos"), c.add("ledger")
	c.put(3, 0, route("/p/", "photos", crroute.Repeatable))
	to.backend.set(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	from.warm(t, "GET", "/p/x", to)
	for i := range 30 {
		_, _, err := from.send(context.Background(), "GET", "/p/x", fmt.Sprint("learn-", i), nil)
		qt.Assert(t, err, qt.IsNil)
	}
	other.until(t, "/nowhere", http.StatusNotFound)
	qt.Assert(t, other.learnedOf(t, "/p/"), qt.DeepEquals, learnedRoute{})
	since := time.Now()
	eventually(t, func() bool {
		// Without time for a run an answer teaches nothing.
		req, err := http.NewRequest("GET", "http://"+other.entrance+"/p/x", nil)
		qt.Assert(t, err, qt.IsNil)
		req.Host = "app.example"
		req.Header.Set(names.RequestID, "hopeless")
		req.Header.Set(names.Timeout, "0")
		resp, err := http.DefaultTransport.RoundTrip(req)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.Body.Close(), qt.IsNil)
		got := other.learnedOf(t, "/p/")
		return got.Clients && got.CostMS["photos"] >= 20
	})
	// The other node reports within 2 s, and this one asks each 300 ms.
	qt.Assert(t, time.Since(since) < 3*time.Second, qt.IsTrue)
}

// TestHintsFailOnce guards against a node that neither takes nor tells hints any more because its coordinator was once too busy.
func TestHintsFailOnce(t *testing.T) {
	// Both ties may begin with the only coordinator.
	const ties = 2
	var calls atomic.Int32
	core := &coordinator{
		view: func(c *coordinator) *crwire.CoreView {
			return &crwire.CoreView{Voters: []string{c.address}, Confirmed: true}
		},
		watch: func(ctx context.Context, send func(*crwire.DocumentFeed) error) error {
			// A feed that is silent would be left, and begun anew.
			var err error
			crpause.Every(ctx, 100*time.Millisecond, func() { err = errors.Join(err, send(feedOf(7, "[]", true))) })
			return err
		},
		hints: func(h *crwire.RouteHints) (*crwire.RouteHints, error) {
			if calls.Add(1) <= ties {
				return nil, crcode.New(crcode.Stopping, "busy")
			}
			if !h.GetWant() {
				return &crwire.RouteHints{}, nil
			}
			return &crwire.RouteHints{Hints: []*crwire.RouteHint{{Route: "/p/", Origin: 1, CostMs: map[string]float32{"photos": 50}}}}, nil
		},
	}
	core.start(t)
	n := (&cluster{t: t, seed: core.address}).add("ledger")
	t.Cleanup(n.stop)
	eventually(t, func() bool { return n.learnedOf(t, "/p/").Clients })
	qt.Assert(t, calls.Load() > ties, qt.IsTrue)
}

// TestAbsentService guards against requests that are let in, run and fail since a service that their run calls has no server:
// after a loss of power the services come back one after the other.
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
	n := c.add("ledger")
	c.put(3, 0, route("/p/", "ledger", crroute.Once), route("/l/", "ledger", crroute.Once))
	n.until(t, "/l/x", http.StatusOK)
	send := func(path string) (refused int, ran int64) {
		before := n.backend.ran.Load()
		for i := range 40 {
			resp, _, err := n.send(context.Background(), "POST", path, fmt.Sprint("absent-", i), nil)
			qt.Assert(t, err, qt.IsNil)
			if resp.StatusCode == http.StatusServiceUnavailable {
				refused++
			}
		}
		return refused, n.backend.ran.Load() - before
	}
	refused, ran := send("/p/x")
	qt.Assert(t, refused >= 30, qt.IsTrue, qt.Commentf("%d of 40 refused", refused))
	qt.Assert(t, ran >= 1 && ran <= 10, qt.IsTrue, qt.Commentf("%d of 40 ran; some must, to learn from", ran))
	refused, ran = send("/l/x")
	qt.Assert(t, refused, qt.Equals, 0)
	qt.Assert(t, ran, qt.Equals, int64(40))
	// The others are let in as soon as the service has a server.
	c.add("photos")
	eventually(t, func() bool {
		refused, _ := send("/p/x")
		return refused == 0
	})
}
