package crcoord_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crquota"
)

// TestQuotaOwner guards against coordinators that grant tokens without leading, coordinators that do not pass the requests of nodes
// on to the leader, and a new leader that does not follow a lost one or begins with a balance.
func TestQuotaOwner(t *testing.T) {
	c, addresses := newCore(t, 3)
	c.startAll(addresses)
	request := crcoord.EncodeQuotaAcquire(crquota.Request{
		Contacts: []crquota.Contact{{Node: "n"}}, Urgent: true,
		Demands: []crquota.Demand{{Organisation: "pulo", Need: 1000, Limit: crquota.Limit{Rate: 100, Burst: 1000, Version: 1}}},
	})
	endpoint := func(role string) *crwire.Endpoint {
		e := &crwire.Endpoint{Identity: crwire.Identity{Self: crwire.Peer{Name: "n", Role: role}}, Mux: &crwire.Mux{}}
		t.Cleanup(e.Close)
		return e
	}
	ask := func(e *crwire.Endpoint, address string) *crwire.QuotaGrants {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s, err := e.Session(ctx, address)
		if err != nil {
			return nil
		}
		r, err := crwire.Call[crwire.QuotaGrants](ctx, s, crcoord.MethodQuota, request)
		if err != nil {
			return nil
		}
		return r
	}
	asCoordinator, asNode := endpoint(crwire.RoleControl), endpoint(crwire.RoleNode)
	// owner waits until exactly one coordinator grants, and returns its address and its answer.
	owner := func(term uint64) (leader string, grants *crwire.QuotaGrants) {
		eventually(t, func() bool {
			n := 0
			for _, a := range addresses {
				if r := ask(asCoordinator, a); r != nil && r.GetTerm() > term {
					leader, grants = a, r
					n++
				}
			}
			qt.Check(t, n <= 1, qt.IsTrue, qt.Commentf("%d coordinators grant", n))
			return n == 1
		})
		return leader, grants
	}
	leader, grants := owner(0)
	for _, a := range addresses {
		eventually(t, func() bool { return ask(asNode, a).GetTerm() == grants.GetTerm() })
	}
	c.stop(leader)
	next, after := owner(grants.GetTerm())
	qt.Assert(t, next, qt.Not(qt.Equals), leader)
	qt.Assert(t, after.GetGrants()[0].GetGranted() < 100, qt.IsTrue, qt.Commentf("%d", after.GetGrants()[0].GetGranted()))
	for _, a := range addresses {
		if a != leader {
			eventually(t, func() bool { return ask(asNode, a).GetTerm() == after.GetTerm() })
		}
	}
}
