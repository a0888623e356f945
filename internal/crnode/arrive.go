package crnode

import (
	"context"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// arriveTimeout bounds the question to the home of an id; a silent home is treated as lost.
const arriveTimeout = 300 * time.Millisecond

// arrive counts the arrival of an id and returns who holds its retries; without ok the answer refuses the arrival.
func (n *Node) arrive(ctx context.Context, id crrecord.ID, c outcall) (holder, answer, bool) {
	self := holder{address: n.innerAddress(), incarnation: n.Incarnation}
	if n.Policy != Adaptive {
		return self, answer{}, true
	}
	if id.Home() == n.Prefix() {
		if !n.countArrival(id, c.kind.Retries()) {
			return holder{}, n.spent(), false
		}
		return self, answer{}, true
	}
	home, accepted, err := n.askHome(ctx, id, c.kind.Retries())
	if err == nil {
		if !accepted {
			return holder{}, n.spent(), false
		}
		return home, answer{}, true
	}
	// The home may have given its whole part; the keepers hold the other part, and it pays for this arrival alone.
	n.Counters.Add("arrivals_without_home", 1)
	if _, err := n.claims.CountArrival(ctx, id, c.kind.Retries()/2, 1); err != nil {
		return holder{}, refusalOf(err), false
	}
	return self, answer{}, true
}

func (n *Node) spent() answer {
	n.Counters.Add("arrivals_over_bound", 1)
	return refusal(crcode.RetriesSpent, "")
}

func (n *Node) countArrival(id crrecord.ID, retries int) bool {
	_, ok := n.arrivals.Arrive(time.Now(), id.String(), time.UnixMilli(id.CreatedMS()), retries, 0)
	return ok
}

// askHome asks the node that made the id; an error means that it cannot tell.
func (n *Node) askHome(ctx context.Context, id crrecord.ID, retries int) (holder, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, arriveTimeout)
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

// handleArrive counts an arrival at another entrance of an id that this node made.
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
