package crforward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcost"
)

// TestRepeatOnHop guards against a retried run whose calls the next node does not count as repeats.
func TestRepeatOnHop(t *testing.T) {
	now := time.Now()
	for _, repeat := range []bool{false, true} {
		sent := &call{service: "delivery", route: "fetch", deadline: now.Add(time.Second), due: now.Add(time.Second), repeat: repeat}
		got := &call{}
		qt.Assert(t, parseCall(formatCall(sent, now), got, now), qt.IsNil)
		qt.Assert(t, got.repeat, qt.Equals, repeat)
	}
}

func nodeWithBudget() *Node {
	n := &Node{Settings: Settings{RetryRatio: 0.2}, ledger: &crcost.Estimator{}}
	n.services.node, n.gate = n, newGate(n)
	for range minCostAnswers {
		n.costs.observe("fetch", crcost.Vector{"delivery": 0.04})
		n.costs.observe("plan", crcost.Vector{"routing": 0.03, "delivery": 0.16})
	}
	return n
}

// TestRetriesOfLevels guards against calls of repeated runs that are not charged, against a ratio that is not used where no run is
// a repeat, and against runs with calls that use more than the share of one level.
func TestRetriesOfLevels(t *testing.T) {
	for name, x := range map[string]struct {
		route, service string
		repeats        int // of six runs on the server
		low, high      int
	}{
		"last service":           {"fetch", "delivery", 0, 180, 200},
		"last, with repeats":     {"fetch", "delivery", 1, 0, 3},
		"service with calls":     {"plan", "routing", 0, 45, 51},
		"unknown cost":           {"other", "delivery", 0, 45, 51},
		"calls of repeated runs": {"fetch", "delivery", 6, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			n, now, retries := nodeWithBudget(), time.Now(), 0
			for i := range 6 {
				n.gate.repeats.RunStarted("plan", i < x.repeats)
			}
			for i := range 1000 {
				b := n.budget(n.services.get(x.service), &call{route: x.route, service: x.service, origin: originServers})
				at := now.Add(time.Duration(i) * 5 * time.Millisecond)
				if b.recordCall(at); b.Allow(at) {
					retries++
				}
			}
			qt.Assert(t, retries >= x.low && retries <= x.high, qt.IsTrue, qt.Commentf("%d retries of 1000 calls", retries))
		})
	}
}
