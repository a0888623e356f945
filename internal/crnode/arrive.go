package crnode

import (
	"context"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// homeTimeout bounds the call to the home of a request id; a home that does not answer is treated as lost.
const homeTimeout = 300 * time.Millisecond

// registerArrival counts an arrival of the id: a send of the request by its caller, to any entrance. It returns the
// holder, the node that counts the retries of the request. A false result refuses the arrival with the returned answer.
func (n *Node) registerArrival(ctx context.Context, id crrecord.ID, c outboundCall) (holder, answer, bool) {
	self := holder{address: n.innerAddress(), incarnation: n.Incarnation}
	if n.Policy != Adaptive {
		return self, answer{}, true
	}
	if id.Home() == n.Prefix() {
		if !n.countArrival(id, c.kind.Retries()) {
			return holder{}, n.retriesSpent(), false
		}
		return self, answer{}, true
	}
	home, accepted, err := n.askHome(ctx, id, c.kind.Retries())
	if err == nil {
		if !accepted {
			return holder{}, n.retriesSpent(), false
		}
		return home, answer{}, true
	}
	// The home may already have granted all of its part of the retries. The keepers hold the other part, of which this
	// arrival uses one; it gets no further retries.
	n.Counters.Add("arrivals_without_home", 1)
	if _, err := n.claims.CountArrival(ctx, id, c.kind.Retries()/2, 1); err != nil {
		return holder{}, refusalFromError(err), false
	}
	return self, answer{}, true
}

func (n *Node) retriesSpent() answer {
	n.Counters.Add("arrivals_over_bound", 1)
	return refusal(crcode.RetriesSpent, "")
}

func (n *Node) countArrival(id crrecord.ID, retries int) bool {
	_, ok := n.arrivals.Arrive(time.Now(), id.String(), time.UnixMilli(id.CreatedMS()), retries, 0)
	return ok
}

// askHome asks the home, the node that generated the id, to count the arrival. An error means that the home's decision is
// unknown.
func (n *Node) askHome(ctx context.Context, id crrecord.ID, retries int) (holder, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	home, err := n.lookup(ctx, id.Home())
	if err != nil {
		return holder{}, false, err
	}
	s, err := n.endpoint.Session(ctx, home.address)
	if err != nil {
		return holder{}, false, err
	}
	resp, err := crwire.Call[crwire.ArriveResponse](ctx, s, methodArrive, &crwire.ArriveRequest{
		RootId: id.String(), Retries: uint32(retries), TargetIncarnation: home.incarnation,
	})
	if err != nil {
		return holder{}, false, err
	}
	return home, resp.GetAccepted(), nil
}

// handleArrive counts an arrival at another entrance of an id that this node generated.
func (n *Node) handleArrive(_ context.Context, _ *crwire.Session, req *crwire.ArriveRequest) (*crwire.ArriveResponse, error) {
	if req.GetTargetIncarnation() != n.Incarnation {
		return nil, crcode.New(crcode.StaleIncarnation, "")
	}
	id, err := crrecord.ParseID(req.GetRootId())
	if err != nil {
		return nil, err
	}
	return &crwire.ArriveResponse{Accepted: n.countArrival(id, int(req.GetRetries()))}, nil
}
