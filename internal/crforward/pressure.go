package crforward

import (
	"context"
	"strconv"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crcost"
	"github.com/citronramp/citronramp/pkg/crroute"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// Parameters of load shedding at the entrance.
const (
	// minLimitingCost is the least service time per request, in seconds, from which a service's pressure limits a
	// route.
	minLimitingCost = 0.005
)

// applyFeedback records the load, origin and cost that an answer reports.
func (n *Node) applyFeedback(now time.Time, node string, c *call, r *reply) {
	if r.load != nil {
		n.storePressure(now, c.service, node, r)
	}
	for _, e := range r.board {
		n.board.StoreEntry(now, e)
	}
	n.origins.set(c.route, r.origin)
	if r.cost != nil {
		n.costs.observe(c.route, r.cost)
		n.logCost(now, c.route, costReasonAnswer)
	}
}

// admissionShare returns the share of a route's requests to admit, with the service that limits it and the pressure
// there. The present request counts as offered load of all services that the route uses.
func (n *Node) admissionShare(now time.Time, c *call, route *crroute.Route) (share float64, service string, pressure float64) {
	share, service = 1, c.service
	costs := n.costs.get(route.Name).cost
	known := costs != nil
	if !known {
		// A route of unknown cost is assumed to use every service.
		costs = n.services.assumedCost()
	}
	for s, seconds := range costs {
		if seconds < minLimitingCost {
			continue
		}
		p := n.board.Pressure(now, s)
		if !known {
			seconds = 0
		}
		v, excess := n.admittedFraction(now, c, s, seconds, p)
		switch {
		case s == c.service && n.makesNoCalls(c) && n.board.Refusing(now, s):
			// Unlike a chain such a request is lost with one refused call only, whether others are admitted or not.
			p = n.board.DirectPressure(now, s)
			v, excess = n.shares.UnsmoothedFraction(s, c.priority, p), false
		case seconds > 0:
			v = n.shares.FractionOfLittle(s, c.priority, time.Duration(seconds*float64(time.Second)), v)
		}
		v = n.leastFraction(now, c, s, v)
		if known && n.services.lacksServers(s) {
			// The service has no servers. A few requests are still admitted, to find out when the route no longer uses
			// it.
			p, v = crshed.MaxPressure, 1/crshed.MaxPressure
		}
		if v < share {
			share, service, pressure, c.excess = v, s, p, excess
		}
	}
	return share, service, pressure
}

// admissionRates returns, for each overloaded service that a route uses, the share of the offered load that is
// admitted.
func (n *Node) admissionRates(now time.Time, route *crroute.Route) crshed.Rates {
	costs := n.costs.get(route.Name).cost
	if costs == nil {
		costs = n.services.assumedCost()
	}
	rates := crshed.Rates{}
	for s := range costs {
		if p := n.board.Pressure(now, s); p > 1 {
			rates[s] = n.totalAdmittedFraction(now, s, p)
		}
	}
	return rates
}

// pathOverloaded reports whether demand exceeds capacity at a service that the call's route uses. Late answers are
// then no sign of a fault of one server.
func (n *Node) pathOverloaded(now time.Time, c *call) bool {
	if n.board.Pressure(now, c.service) > 1 {
		return true
	}
	for s := range n.costs.get(c.route).cost {
		if n.board.Pressure(now, s) > 1 {
			return true
		}
	}
	return false
}

// admit decides about admission at the entrance; requests without time left are refused. Calls of running work are
// always admitted, as are requests of routes that are not known to be clients', which may be such calls.
func (n *Node) admit(now time.Time, c *call, route *crroute.Route) *reply {
	if !now.Before(c.deadline) {
		return failureReply(crcode.DeadlineExpired, "")
	}
	if c.origin != originClients {
		return nil
	}
	share, service, pressure := n.admissionShare(now, c, route)
	if n.shares.Admit(admissionKey(c, route), share) {
		return nil
	}
	reason := "shed"
	if c.excess {
		reason = "excess"
		n.Counters.Add("shed_excess", 1)
	}
	n.Counters.Add("shed", 1)
	n.Log.Emit(now, crevent.Failure, crevent.Rejected, crevent.KeyID, c.id, crevent.KeyRoute, c.route, crevent.KeyService, service,
		crevent.KeyPriority, c.priority, crevent.KeyShare, share, crevent.KeyPressure, pressure, crevent.KeyReason, reason,
		crevent.KeyDetail, n.shedDetail(now, service))
	return failureReply(crcode.Overloaded, "shed")
}

// admissionKey returns the name under which the admission of similar requests is spaced evenly: their route, their priority
// where organisations differ in it, and whether their organisations exceed the usual.
func admissionKey(c *call, route *crroute.Route) string {
	key := route.Name
	if c.priority != route.Priority {
		key += "/" + strconv.Itoa(c.priority)
	}
	if c.excess {
		key += "/excess"
	}
	return key
}

// callFailedSince reports whether a call made by the backend server has failed since the given time.
func (n *Node) callFailedSince(t time.Time) bool {
	return n.lastCallFailure.Load() >= t.UnixNano()
}

// sampleLoad samples the runs and calls of the backend server and steps the regulator of its gate until ctx ends.
func (n *Node) sampleLoad(ctx context.Context) {
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
				n.gate.stepRegulator(now)
			}
		}
	}
}
