package crforward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOrigins guards against calls of running work that are taken for requests of clients, and the other way round.
func TestOrigins(t *testing.T) {
	now := time.Unix(1, 0)
	services := []string{"ledger", "photos", "prices", "routes"}
	instances := map[string]int{"ledger": 5, "photos": 5, "prices": 5, "routes": 5}
	var o origins
	for i := range 200 {
		client := o.count(now, "look", services[i%4], false, instances)
		call := o.count(now, "index", services[i%2], false, instances)
		switch {
		case i < 3:
			qt.Assert(t, client, qt.Equals, originUnknown)
		default:
			qt.Assert(t, client, qt.Equals, originClients)
		}
		if i < expectedSamples*4-1 {
			qt.Assert(t, call, qt.Equals, originUnknown)
		} else {
			qt.Assert(t, call, qt.Equals, originServers)
		}
	}
	// A route that clients begin to use is classified anew.
	for _, s := range services {
		o.count(now.Add(originWindow+time.Second), "index", s, false, instances)
	}
	qt.Assert(t, o.count(now.Add(originWindow+time.Second), "index", "ledger", false, instances), qt.Equals, originClients)
	// With one service there is nothing to tell them apart by.
	qt.Assert(t, (&origins{}).count(now, "look", "ledger", false, map[string]int{"ledger": 5}), qt.Equals, originUnknown)
}

// TestOriginsUneven guards against requests of clients that are taken for calls because few instances stand beside the
// servers of one service, so that a gate hears from these late.
func TestOriginsUneven(t *testing.T) {
	now := time.Unix(1, 0)
	instances := map[string]int{"routes": 43, "ledger": 24, "photos": 8, "prices": 4}
	var o origins
	// One in 20 requests comes from an instance of "prices"; the first of them may be the 100th.
	for i := range 100 {
		got := o.count(now, "look", []string{"routes", "ledger", "photos"}[i%3], false, instances)
		qt.Assert(t, got, qt.Equals, originUnknown, qt.Commentf("request %d", i))
	}
	qt.Assert(t, o.count(now, "look", "prices", false, instances), qt.Equals, originClients)
}

// TestOriginsIdle guards against a start in which clients' requests are let in as calls until all services have sent some,
// and against calls of runs that were given up, which leave an instance that looks idle.
func TestOriginsIdle(t *testing.T) {
	now := time.Unix(1, 0)
	instances := map[string]int{"routes": 43, "ledger": 24, "photos": 8, "prices": 4}
	var o origins
	for i := range idleSamples {
		got := o.count(now, "look", "routes", true, instances)
		qt.Assert(t, got == originClients, qt.Equals, i == idleSamples-1)
	}
	var verdict origin
	for i := range 400 {
		verdict = o.count(now, "index", "photos", i > 100 && i%25 == 0, instances)
	}
	qt.Assert(t, verdict, qt.Equals, originServers)
}
