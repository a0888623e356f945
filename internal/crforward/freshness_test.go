package crforward_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crforward"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crroute"
)

// newStrictCluster returns a cluster whose nodes revoke keys without contact.
func newStrictCluster(t *testing.T, clock *shiftedClock) *cluster {
	c := newCluster(t)
	c.configure = strictNode(clock)
	return c
}

func strictNode(clock *shiftedClock) func(n *crforward.Node) {
	return func(n *crforward.Node) {
		n.Parse, n.Clock, n.Settings.RevokeWithin = parseKeyed, clock.now, 5*time.Second
	}
}

func (n *node) waitForKey(t *testing.T, path, key string, want int) {
	t.Helper()
	eventually(t, func() bool {
		status, _ := n.ask(t, path, headerNames.Key, key)
		return status == want
	})
}

// assertKeysRefused asserts that requests with a key are answered 503 and others are served.
func (n *node) assertKeysRefused(t *testing.T, keys ...string) {
	t.Helper()
	for _, k := range keys {
		status, h := n.ask(t, "/p/x", headerNames.Key, k)
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", k))
		qt.Assert(t, h.Get(headerNames.RetryAfter), qt.Not(qt.Equals), "")
	}
	status, _ := n.ask(t, "/open/x", headerNames.Key, keys[0])
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("anonymous"))
	status, _ = n.ask(t, "/q/x")
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("call of the server"))
}

// TestRevocation guards against a key that a connected client still uses after its organisation has lost it, and against
// the key of an organisation that was removed as the last one.
func TestRevocation(t *testing.T) {
	var clock shiftedClock
	c := newStrictCluster(t, &clock)
	from, _ := c.addNode("ledger"), c.addNode("photos")
	c.putKeyed(1, 0, organisation("acme", "k1"))
	from.waitForKey(t, "/p/x", "k1", http.StatusOK)
	c.putKeyed(2, 1, organisation("acme"))
	from.waitForKey(t, "/p/x", "k1", http.StatusUnauthorized)
	c.putKeyed(3, 2, organisation("acme", "k1"))
	from.waitForKey(t, "/p/x", "k1", http.StatusOK)
	c.putKeyed(4, 3)
	from.waitForKey(t, "/p/x", "k1", http.StatusUnauthorized)
}

// TestRevocationWithoutContact guards against a node that goes on with removed keys while all its links are cut, also when
// its machine was suspended, and against one that does not recover.
func TestRevocationWithoutContact(t *testing.T) {
	var clock shiftedClock
	c := newStrictCluster(t, &clock)
	strict := c.configure
	c.configure = func(n *crforward.Node) {
		strict(n)
		// Longer than the coordinator takes to stop on a busy machine.
		n.Settings.RevokeWithin = time.Minute
	}
	from, _ := c.addNode("ledger"), c.addNode("photos")
	// The coordinator starts again with the same disk.
	dir := t.TempDir()
	c.stopCoord()
	inner := listener(t)
	c.seed = inner.Addr().String()
	c.startCoord(inner, dir, true)
	for _, n := range c.nodes {
		n.SetSeeds([]string{c.seed})
	}
	c.putKeyed(1, 0, organisation("acme", "k1"))
	from.waitForKey(t, "/p/x", "k1", http.StatusOK)
	c.stopCoord()
	status, _ := from.ask(t, "/p/x", headerNames.Key, "k1")
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("the lease outlives a short loss of contact"))
	clock.shift.Store(int64(time.Minute))
	refused := from.counter(t, "keys_unconfirmed")
	from.assertKeysRefused(t, "k1", "unknown")
	qt.Assert(t, from.counter(t, "keys_unconfirmed"), qt.Equals, refused+2)
	inner, err := net.Listen("tcp", c.seed)
	qt.Assert(t, err, qt.IsNil)
	c.startCoord(inner, dir, false)
	from.waitForKey(t, "/p/x", "k1", http.StatusOK)
}

// newFreshnessCluster returns an entrance that follows a stand-in for a coordinator that always confirms version 1 of a configuration with the key k1 and
// answers requests for the newest version by f.
func newFreshnessCluster(t *testing.T, clock *shiftedClock, f func(ctx context.Context) (*crwire.DocumentFreshnessReply, error)) *node {
	t.Helper()
	body := string(keyedDocument{keyedRoutes(), []crroute.Organisation{organisation("acme", "k1")}}.encode(t))
	core := &fakeCoordinator{
		view: func(c *fakeCoordinator) *crwire.CoreView {
			return &crwire.CoreView{Voters: []string{c.address}, Confirmed: true}
		},
		watch: func(ctx context.Context, send func(*crwire.DocumentFeed) error) error {
			err := send(feedMessage(1, body, true))
			for ; err == nil && ctx.Err() == nil; err = send(&crwire.DocumentFeed{Version: 1, Confirmed: true}) {
				time.Sleep(100 * time.Millisecond)
			}
			return err
		},
		freshness: f,
	}
	core.start(t)
	c := &cluster{t: t, seed: core.address, configure: strictNode(clock)}
	from := c.addNode("ledger")
	to := c.addNode("photos")
	t.Cleanup(func() {
		from.stop()
		to.stop()
	})
	from.waitForStatus(t, "/open/x", http.StatusOK)
	return from
}

// TestUnconfirmedStart guards against a node that was restarted and takes the keys of its configuration for current, or
// answers that a key is unknown, although no coordinator has confirmed it. The coordinator is one of the previous release,
// which does not know the request.
func TestUnconfirmedStart(t *testing.T) {
	var clock shiftedClock
	from := newFreshnessCluster(t, &clock, nil)
	from.assertKeysRefused(t, "k1", "unknown")
}

// TestFrozenCoordinator guards against a lease that is renewed by a feed alone, or by a reply that comes late because the
// coordinator or the node was suspended.
func TestFrozenCoordinator(t *testing.T) {
	var clock shiftedClock
	var frozen, gone atomic.Bool
	held, thaw := make(chan struct{}, 100), make(chan struct{})
	from := newFreshnessCluster(t, &clock, func(ctx context.Context) (*crwire.DocumentFreshnessReply, error) {
		switch {
		case gone.Load(), frozen.Load() && clock.shift.Load() > 0:
			// A request that was sent after the suspension would renew the lease.
			return nil, errors.New("no leader")
		case frozen.Load():
			held <- struct{}{}
			select {
			case <-thaw:
			case <-ctx.Done():
			}
		}
		return &crwire.DocumentFreshnessReply{Version: 1}, nil
	})
	from.waitForKey(t, "/p/x", "k1", http.StatusOK)
	frozen.Store(true)
	<-held
	clock.shift.Store(int64(6 * time.Second))
	from.assertKeysRefused(t, "k1")
	gone.Store(true)
	close(thaw)
	time.Sleep(300 * time.Millisecond)
	from.assertKeysRefused(t, "k1", "unknown")
	frozen.Store(false)
	gone.Store(false)
	from.waitForKey(t, "/p/x", "k1", http.StatusOK)
}

// TestVersionNotInForce guards against a lease on a configuration that the coordinator has replaced and the node has not
// received.
func TestVersionNotInForce(t *testing.T) {
	var clock shiftedClock
	var version atomic.Uint64
	version.Store(2)
	from := newFreshnessCluster(t, &clock, func(context.Context) (*crwire.DocumentFreshnessReply, error) {
		if v := version.Load(); v > 0 {
			return &crwire.DocumentFreshnessReply{Version: v}, nil
		}
		return nil, errors.New("no leader")
	})
	time.Sleep(time.Second)
	from.assertKeysRefused(t, "k1")
	version.Store(1)
	from.waitForKey(t, "/p/x", "k1", http.StatusOK)
	version.Store(0)
	clock.shift.Store(int64(6 * time.Second))
	from.assertKeysRefused(t, "k1")
}
