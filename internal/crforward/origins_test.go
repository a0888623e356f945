package crforward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOrigins guards against calls of running work that are classified as requests of clients, and vice versa.
func TestOrigins(t *testing.T) {
	now := time.Unix(1, 0)
	services := []string{"ledger", "photos", "prices", "routes"}
	instances := map[string]int{"ledger": 5, "photos": 5, "prices": 5, "routes": 5}
	var o originClassifier
	for i := range 200 {
		client := o.observe(now, "look", services[i%4], false, instances)
		call := o.observe(now, "index", services[i%2], false, instances)
		switch {
		case i < 3:
			qt.Assert(t, client, qt.Equals, originUnknown)
		default:
			qt.Assert(t, client, qt.Equals, originClients)
		}
		if i < minExpectedRequests*4-1 {
			qt.Assert(t, call, qt.Equals, originUnknown)
		} else {
			qt.Assert(t, call, qt.Equals, originServers)
		}
	}
	// A route that clients begin to use is classified again.
	for _, s := range services {
		o.observe(now.Add(originWindow+time.Second), "index", s, false, instances)
	}
	qt.Assert(t, o.observe(now.Add(originWindow+time.Second), "index", "ledger", false, instances), qt.Equals, originClients)
	// With one service, the origins cannot be distinguished.
	qt.Assert(t, (&originClassifier{}).observe(now, "look", "ledger", false, map[string]int{"ledger": 5}), qt.Equals, originUnknown)
}

// TestOriginsUneven guards against requests of clients that are classified as calls because one service has few
// instances, so that a gate gets the first request from them late.
func TestOriginsUneven(t *testing.T) {
	now := time.Unix(1, 0)
	instances := map[string]int{"routes": 43, "ledger": 24, "photos": 8, "prices": 4}
	var o originClassifier
	// One in 20 requests comes from an instance of "prices"; the first of them may be the 100th.
	for i := range 100 {
		got := o.observe(now, "look", []string{"routes", "ledger", "photos"}[i%3], false, instances)
		qt.Assert(t, got, qt.Equals, originUnknown, qt.Commentf("request %d", i))
	}
	qt.Assert(t, o.observe(now, "look", "prices", false, instances), qt.Equals, originClients)
}

// TestOriginsIdle guards against a start in which clients' requests are admitted as calls until all services have sent
// some. It also guards against counting calls of abandoned runs, which come from instances that look idle.
func TestOriginsIdle(t *testing.T) {
	now := time.Unix(1, 0)
	instances := map[string]int{"routes": 43, "ledger": 24, "photos": 8, "prices": 4}
	var o originClassifier
	for i := range minIdleRequests {
		got := o.observe(now, "look", "routes", true, instances)
		qt.Assert(t, got == originClients, qt.Equals, i == minIdleRequests-1)
	}
	var verdict origin
	for i := range 400 {
		verdict = o.observe(now, "index", "photos", i > 100 && i%25 == 0, instances)
	}
	qt.Assert(t, verdict, qt.Equals, originServers)
}
