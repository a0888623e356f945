package crforward

import (
	"context"
	"sync"
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
	// costSmoothing is the weight of what one answer tells of a route's cost; servers tell means already.
	costSmoothing = 0.2
	// retryBase and retryPerIntensity make the hint of a request that is turned away: an intensity falls by about a third
	// in a second once demand has gone.
	retryBase         = 300 * time.Millisecond
	retryPerIntensity = 1500 * time.Millisecond
)

// routeCosts is what the answers told of the costs of routes.
type routeCosts struct {
	mu  sync.Mutex
	all map[string]crcost.Vector
}

func (r *routeCosts) learn(route string, told crcost.Vector) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = map[string]crcost.Vector{}
	}
	old := r.all[route]
	if old == nil {
		r.all[route] = told
		return
	}
	next := crcost.Vector{}
	for service, v := range old {
		next[service] = v * (1 - costSmoothing)
	}
	for service, v := range told {
		next[service] += v * costSmoothing
	}
	r.all[route] = next
}

func (r *routeCosts) of(route string) crcost.Vector {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all[route]
}

// learn takes what an answer tells of the load below.
func (n *Node) learn(now time.Time, node string, c *call, r *reply) {
	if r.load != nil {
		n.board.Heard(now, c.service, node, r.intensity, r.load.InFlight+r.load.Queued)
	}
	for _, e := range r.board {
		n.board.Passed(now, e.Service, e.Intensity, e.Age)
	}
	n.origins.learn(c.route, r.origin)
	if r.cost != nil {
		n.costs.learn(c.route, r.cost)
	}
}

// binding returns the service that turns most of a route's work away, of those that its requests use.
func (n *Node) binding(now time.Time, route *crroute.Route, service string) (string, float64) {
	best, intensity := service, 0.0
	costs := n.costs.of(route.Name)
	if costs == nil {
		// Until its cost is known a route is held to use every service.
		costs = n.services.everything()
	}
	for s, seconds := range costs {
		if seconds < bindingCost {
			continue
		}
		if v := n.board.Intensity(now, s); v >= intensity {
			best, intensity = s, v
		}
	}
	return best, intensity
}

// admit decides at the entrance whether a request is let in; one without time left is not. Calls of work that runs always are, and requests of routes
// that are not known to be clients' might be such calls.
func (n *Node) admit(now time.Time, c *call, route *crroute.Route) *reply {
	if !now.Before(c.deadline) {
		return refuse(crcode.DeadlineExpired, "")
	}
	if c.origin != originClients {
		return nil
	}
	service, intensity := n.binding(now, route, c.service)
	if n.shares.Admit(now, route.Name, service, route.Priority, intensity) {
		return nil
	}
	n.Counters.Add("shed", 1)
	n.Log.Emit(now, crevent.Failure, crevent.Rejected, crevent.KeyID, c.id, crevent.KeyRoute, c.route, crevent.KeyService, service,
		crevent.KeyPriority, route.Priority, crevent.KeyShare, intensity, crevent.KeyReason, "shed")
	return &reply{code: crcode.Overloaded, detail: "shed", retryIn: retryBase + time.Duration(intensity*float64(retryPerIntensity))}
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
