package crforward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crroute"
)

// TestKeyedRoutes guards against a memory of keyed routes that holds routes which the configuration no longer has.
func TestKeyedRoutes(t *testing.T) {
	table := func(version uint64, prefixes ...string) *crroute.Table {
		var routes []crroute.Route
		for _, p := range prefixes {
			routes = append(routes, crroute.Route{
				Name: p, Host: "h", Prefix: p, Kind: crroute.Once, Timeout: time.Second, MaxAttempts: 1, Shares: []crroute.Share{{Service: "s", Weight: 1}},
			})
		}
		out, err := crroute.New(version, routes, []crroute.Service{{Name: "s"}}, crroute.Limits{})
		qt.Assert(t, err, qt.IsNil)
		return out
	}
	var k keyedRoutes
	k.retain(table(1, "/a", "/b"))
	k.add(1, "/a")
	k.add(1, "/b")
	k.retain(table(2, "/b", "/c"))
	k.add(1, "/a") // by a request that was matched before the change
	qt.Assert(t, k.has("/a"), qt.IsFalse)
	qt.Assert(t, k.has("/b"), qt.IsTrue)
	qt.Assert(t, k.names, qt.HasLen, 1)
}
