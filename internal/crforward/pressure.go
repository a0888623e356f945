package crforward

import (
	"context"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crcost"
	"github.com/citronramp/citronramp/pkg/crroute"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// Figures of turning work away at the entrance.
const (
	// bindingCost is the least time that a request takes of a service for that service to bind it, in seconds.
	bindingCost = 0.005
)

// learn takes what an answer tells of the load below.
func (n *Node) learn(now time.Time, node string, c *call, r *reply) {
	if r.load != nil {
		n.board.Heard(now, c.service, node, r.pressure, r.load.InFlight+r.load.Queued)
	}
	for _, e := range r.board {
		n.board.Passed(now, e.Service, e.Pressure, e.Age)
	}
	n.origins.learn(c.route, r.origin)
	if r.cost != nil {
		n.costs.learn(c.route, r.cost)
		n.tellCost(now, c.route, costAnswered)
	}
}

// shareOf returns the part of a route's requests that is let in, with the service that binds it and the pressure there. The
// request that asks counts as offered to all services that it uses.
func (n *Node) shareOf(now time.Time, route *crroute.Route, own string) (share float64, service string, pressure float64) {
	share, service = 1, own
	costs := n.costs.of(route.Name).cost
	known := costs != nil
	if !known {
		// Until its cost is known a route is held to use every service.
		costs = n.services.everything()
	}
	for s, seconds := range costs {
		if seconds < bindingCost {
			continue
		}
		if known {
			n.shares.Offer(now, s, route.Priority, time.Duration(seconds*float64(time.Second)))
		}
		p := n.board.Pressure(now, s)
		v := n.shares.Share(now, s, route.Priority, p)
		if known && n.services.absent(s) {
			// A few go through, so that it is learned when the route no longer needs the service.
			p, v = crshed.MaxPressure, 1/crshed.MaxPressure
		}
		if v < share {
			share, service, pressure = v, s, p
		}
	}
	return share, service, pressure
}

// ratesOf returns which part of the work offered for the services that a route uses is let in.
func (n *Node) ratesOf(now time.Time, route *crroute.Route) crshed.Rates {
	costs := n.costs.of(route.Name).cost
	if costs == nil {
		costs = n.services.everything()
	}
	rates := crshed.Rates{}
	for s := range costs {
		if p := n.board.Pressure(now, s); p > 1 {
			rates[s] = n.shares.Passed(now, s, p)
		}
	}
	return rates
}

// pressed reports whether a service that the call's route uses is asked for more than it can do: late answers are then due to
// that, not to one server.
func (n *Node) pressed(now time.Time, c *call) bool {
	if n.board.Pressure(now, c.service) > 1 {
		return true
	}
	for s := range n.costs.of(c.route).cost {
		if n.board.Pressure(now, s) > 1 {
			return true
		}
	}
	return false
}

// admit decides at the entrance whether a request is let in; one without time left is not. Calls of work that runs always
// are, and requests of routes that are not known to be clients' might be such calls.
func (n *Node) admit(now time.Time, c *call, route *crroute.Route) *reply {
	if !now.Before(c.deadline) {
		return refuse(crcode.DeadlineExpired, "")
	}
	if c.origin != originClients {
		return nil
	}
	share, service, pressure := n.shareOf(now, route, c.service)
	if n.shares.Admit(route.Name, share) {
		return nil
	}
	n.Counters.Add("shed", 1)
	n.Log.Emit(now, crevent.Failure, crevent.Rejected, crevent.KeyID, c.id, crevent.KeyRoute, c.route, crevent.KeyService, service,
		crevent.KeyPriority, route.Priority, crevent.KeyShare, share, crevent.KeyPressure, pressure, crevent.KeyReason, "shed")
	return refuse(crcode.Overloaded, "shed")
}

// callFailedSince reports whether a call of the backend server has failed since the time.
func (n *Node) callFailedSince(t time.Time) bool {
	return n.callFailed.Load() >= t.UnixNano()
}

// measure samples the runs and calls of the backend server and steps the regulator of its gate until ctx ends.
func (n *Node) measure(ctx context.Context) {
	tick := time.NewTicker(crcost.SampleInterval)
	defer tick.Stop()
	stepped := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			n.ledger.Sample(now)
			if now.Sub(stepped) >= crshed.TickInterval {
				stepped = now
				n.gate.step(now)
			}
		}
	}
}
