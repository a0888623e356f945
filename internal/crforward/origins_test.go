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
	var o origins
	for i := range 200 {
		client := o.count(now, "look", services[i%4], services)
		call := o.count(now, "index", services[i%2], services)
		switch {
		case i < 3:
			qt.Assert(t, client, qt.Equals, originUnknown)
		default:
			qt.Assert(t, client, qt.Equals, originClients)
		}
		if i < samplesPerService*4-1 {
			qt.Assert(t, call, qt.Equals, originUnknown)
		} else {
			qt.Assert(t, call, qt.Equals, originServers)
		}
	}
	// A route that clients begin to use is classified anew.
	for _, s := range services {
		o.count(now.Add(originWindow+time.Second), "index", s, services)
	}
	qt.Assert(t, o.count(now.Add(originWindow+time.Second), "index", "ledger", services), qt.Equals, originClients)
	// With one service there is nothing to tell them apart by.
	qt.Assert(t, (&origins{}).count(now, "look", "ledger", services[:1]), qt.Equals, originUnknown)
}
