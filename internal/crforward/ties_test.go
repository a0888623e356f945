package crforward_test

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crdocument"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crroute"
)

// TestSilentCoordinators guards against a node that tries unresponsive coordinators one after the other while a route
// change has been acknowledged, which must be in force within 2 s.
func TestSilentCoordinators(t *testing.T) {
	c := newCluster(t)
	c.putRoutes(3, 0, newRoute("/p/", "ledger", crroute.Once))
	for range 6 {
		ln := listener(t)
		t.Cleanup(func() { _ = ln.Close() })
		c.moreSeeds = append(c.moreSeeds, ln.Addr().String())
	}
	from := c.addNode("ledger")
	from.waitForStatus(t, "/p/x", http.StatusOK)
	qt.Assert(t, time.Since(from.serverStart) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(from.serverStart)))
}

// fakeCoordinator is a stand-in for a coordinator.
type fakeCoordinator struct {
	address string
	// view answers hellos, and watch serves a document feed.
	view   func(c *fakeCoordinator) *crwire.CoreView
	watch  func(ctx context.Context, send func(*crwire.DocumentFeed) error) error
	hellos atomic.Int32
	// lastWatch is the last request for a feed.
	lastWatch atomic.Pointer[crwire.DocumentWatch]
	// hints, if set, answers hint reports of nodes.
	hints func(*crwire.RouteHints) (*crwire.RouteHints, error)
	// freshness, if set, answers requests for the newest version.
	freshness func(ctx context.Context) (*crwire.DocumentFreshnessReply, error)
}

func (c *fakeCoordinator) start(t *testing.T) {
	t.Helper()
	ln := listener(t)
	c.address = ln.Addr().String()
	e := &crwire.Endpoint{Identity: crwire.Identity{Self: crwire.Peer{Name: "core", Incarnation: "1", Role: crwire.RoleControl}}, Mux: &crwire.Mux{}}
	directory := &crdirectory.Server{Name: "core", Endpoint: e}
	directory.Register(e.Mux)
	crwire.Handle(e.Mux, crcoord.MethodHello, func(context.Context, *crwire.Session, *crwire.CoreHello) (*crwire.CoreView, error) {
		c.hellos.Add(1)
		return c.view(c), nil
	})
	crwire.HandleStream(e.Mux, crcoord.MethodWatch, func(ctx context.Context, _ *crwire.Session, w *crwire.DocumentWatch, send func(*crwire.DocumentFeed) error) error {
		c.lastWatch.Store(w)
		if err := c.watch(ctx, send); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	})
	if c.hints != nil {
		crwire.Handle(e.Mux, crcoord.MethodHints, func(_ context.Context, _ *crwire.Session, h *crwire.RouteHints) (*crwire.RouteHints, error) {
			return c.hints(h)
		})
	}
	if c.freshness != nil {
		crwire.Handle(e.Mux, crcoord.MethodFreshness, func(ctx context.Context, _ *crwire.Session, _ *crwire.DocumentFreshness) (*crwire.DocumentFreshnessReply, error) {
			return c.freshness(ctx)
		})
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = e.Serve(ln) })
	wg.Go(func() { _ = directory.Run(ctx) })
	t.Cleanup(func() {
		_ = ln.Close()
		e.Close()
		stop()
		wg.Wait()
	})
}

// feedMessage returns a feed message with a document whose body is a JSON list of routes.
func feedMessage(version uint64, body string, confirmed bool) *crwire.DocumentFeed {
	return &crwire.DocumentFeed{Version: version, Confirmed: confirmed, Document: &crwire.Document{Version: version, Body: []byte(body)}}
}

// TestLinkBeforeElection guards against a node that searches again and again for a confirmed coordinator while there is
// none. It must keep its link to a member without a leader, apply nothing from it, and apply the document once the
// member is confirmed.
func TestLinkBeforeElection(t *testing.T) {
	elected := make(chan struct{})
	core := &fakeCoordinator{
		view: func(c *fakeCoordinator) *crwire.CoreView { return &crwire.CoreView{Voters: []string{c.address}} },
		watch: func(ctx context.Context, send func(*crwire.DocumentFeed) error) error {
			if err := send(feedMessage(7, "[]", false)); err != nil {
				return err
			}
			select {
			case <-elected:
			case <-ctx.Done():
			}
			return send(&crwire.DocumentFeed{Version: 7, Confirmed: true})
		},
	}
	core.start(t)
	n := (&cluster{t: t, seed: core.address}).addNode("ledger")
	t.Cleanup(n.stop)
	n.waitForStatus(t, "/p/x", http.StatusServiceUnavailable)
	time.Sleep(500 * time.Millisecond)
	resp, _, err := n.send(context.Background(), "GET", "/p/x", "early", nil)
	qt.Assert(t, err, qt.IsNil)
	if time.Since(n.serverStart) < time.Second {
		// After a second a node also accepts unconfirmed documents.
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("an unconfirmed document must not be applied"))
	}
	qt.Assert(t, core.hellos.Load() <= 2, qt.IsTrue, qt.Commentf("%d hellos", core.hellos.Load()))
	close(elected)
	confirmed := time.Now()
	n.waitForStatus(t, "/p/x", http.StatusNotFound)
	qt.Assert(t, time.Since(confirmed) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(confirmed)))
}

// TestCoordinatorsCutOff guards against a node that stays with coordinators that are partitioned from the others. A
// change acknowledged by the others must be in force within 2 s, and they may elect a leader 1.1 s after the
// partition.
func TestCoordinatorsCutOff(t *testing.T) {
	var cut atomic.Bool
	newCutOff := func() *fakeCoordinator {
		return &fakeCoordinator{
			view: func(c *fakeCoordinator) *crwire.CoreView {
				return &crwire.CoreView{Voters: []string{c.address}, Confirmed: !cut.Load()}
			},
			watch: func(ctx context.Context, send func(*crwire.DocumentFeed) error) error {
				tick := time.NewTicker(100 * time.Millisecond)
				defer tick.Stop()
				for {
					if err := send(feedMessage(7, "[]", !cut.Load())); err != nil {
						return err
					}
					select {
					case <-tick.C:
					case <-ctx.Done():
						return ctx.Err()
					}
				}
			},
		}
	}
	a, b := newCutOff(), newCutOff()
	connected := &fakeCoordinator{
		view: func(*fakeCoordinator) *crwire.CoreView { return &crwire.CoreView{Confirmed: cut.Load()} },
		watch: func(_ context.Context, send func(*crwire.DocumentFeed) error) error {
			routes, err := json.Marshal([]crroute.Route{newRoute("/p/", "ledger", crroute.Once)})
			if err != nil {
				return err
			}
			return send(feedMessage(8, string(routes), true))
		},
	}
	for _, c := range []*fakeCoordinator{a, b, connected} {
		c.start(t)
	}
	n := (&cluster{t: t, seed: a.address, moreSeeds: []string{b.address, connected.address}}).addNode("ledger")
	t.Cleanup(n.stop)
	n.waitForStatus(t, "/p/x", http.StatusNotFound)
	// Both links have found their coordinators by now.
	eventually(t, func() bool { return time.Since(n.serverStart) > 2*time.Second })
	cut.Store(true)
	since := time.Now()
	eventually(t, func() bool {
		resp, _, err := n.send(context.Background(), "GET", "/p/x", "probe", nil)
		return err == nil && resp.StatusCode != http.StatusNotFound
	})
	// This is the 2 s less the time in which a coordinator notices the partition and the time of a search under load.
	qt.Assert(t, time.Since(since) < 1600*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(since)))
}

// TestSlowConfirmedCoordinator guards against a node that stays with coordinators without a leader because the one that
// has a newer document answers more slowly than they do, as after a loss of power of all of them. An acknowledged change
// must be in force within 2 s.
func TestSlowConfirmedCoordinator(t *testing.T) {
	var leaderless atomic.Bool
	newLeaderless := func() *fakeCoordinator {
		return &fakeCoordinator{
			view: func(c *fakeCoordinator) *crwire.CoreView {
				return &crwire.CoreView{Voters: []string{c.address}, Confirmed: !leaderless.Load()}
			},
			watch: func(ctx context.Context, send func(*crwire.DocumentFeed) error) error {
				tick := time.NewTicker(100 * time.Millisecond)
				defer tick.Stop()
				for {
					if err := send(feedMessage(7, "[]", !leaderless.Load())); err != nil {
						return err
					}
					select {
					case <-tick.C:
					case <-ctx.Done():
						return ctx.Err()
					}
				}
			},
		}
	}
	confirmed := &fakeCoordinator{
		view: func(*fakeCoordinator) *crwire.CoreView {
			if leaderless.Load() {
				time.Sleep(300 * time.Millisecond)
			}
			return &crwire.CoreView{Confirmed: leaderless.Load()}
		},
		watch: func(_ context.Context, send func(*crwire.DocumentFeed) error) error {
			routes, err := json.Marshal([]crroute.Route{newRoute("/p/", "ledger", crroute.Once)})
			if err != nil {
				return err
			}
			return send(feedMessage(8, string(routes), true))
		},
	}
	confirmed.start(t)
	seeds := []string{confirmed.address}
	for range 3 {
		c := newLeaderless()
		c.start(t)
		seeds = append(seeds, c.address)
	}
	n := (&cluster{t: t, seed: seeds[0], moreSeeds: seeds[1:]}).addNode("ledger")
	t.Cleanup(n.stop)
	n.waitForStatus(t, "/p/x", http.StatusNotFound)
	// Both links have found their coordinators by now.
	eventually(t, func() bool { return time.Since(n.serverStart) > 2*time.Second })
	leaderless.Store(true)
	since := time.Now()
	eventually(t, func() bool {
		resp, _, err := n.send(context.Background(), "GET", "/p/x", "probe", nil)
		return err == nil && resp.StatusCode != http.StatusNotFound
	})
	qt.Assert(t, time.Since(since) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(since)))
}

// TestOtherReference guards against a node that gets no new documents, or applies a wrong one, because its own
// document is not the reference with which its coordinator packed the next one. The node must request an unpacked
// document.
func TestOtherReference(t *testing.T) {
	routes, err := json.Marshal([]crroute.Route{newRoute("/p/", "ledger", crroute.Once)})
	qt.Assert(t, err, qt.IsNil)
	first := &crwire.Document{Version: 7, Body: []byte("[]")}
	other := &crwire.Document{Version: 7, Body: routes}
	second := &crwire.Document{Version: 8, Base: 7, Body: routes}
	core := &fakeCoordinator{view: func(c *fakeCoordinator) *crwire.CoreView {
		return &crwire.CoreView{Voters: []string{c.address}, Confirmed: true}
	}}
	sendPacked := func(send func(*crwire.DocumentFeed) error, reference, d *crwire.Document) error {
		p, err := crdocument.Pack(reference, d)
		if err != nil {
			return err
		}
		return send(&crwire.DocumentFeed{Version: d.Version, Confirmed: true, Packed: p})
	}
	var feeds atomic.Int32
	core.watch = func(_ context.Context, send func(*crwire.DocumentFeed) error) error {
		if feeds.Add(1) > 1 && core.lastWatch.Load().GetHave() == 0 {
			return sendPacked(send, nil, second)
		}
		if err := sendPacked(send, nil, first); err != nil {
			return err
		}
		return sendPacked(send, other, second)
	}
	core.start(t)
	n := (&cluster{t: t, seed: core.address}).addNode("ledger")
	t.Cleanup(n.stop)
	n.waitForStatus(t, "/p/x", http.StatusOK)
	qt.Assert(t, feeds.Load() >= 2, qt.IsTrue)
}
