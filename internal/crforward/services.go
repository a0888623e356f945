package crforward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crbudget"
	"github.com/citronramp/citronramp/pkg/crcost"
	"github.com/citronramp/citronramp/pkg/crrouter"
	"github.com/citronramp/citronramp/pkg/crspeed"
)

// Parameters of the retry budgets.
const (
	// retryRatioShare is the share of the allowed retry ratio that one level of a call chain uses. The calls of a
	// retried run are retries at downstream services too, so the retries of all levels add up.
	retryRatioShare = 0.25
	// retryBurst is the number of retries that a node may accumulate. With one for each node, all nodes together stay
	// within the tolerance of the retry ratio.
	retryBurst = 1
)

// service is the state of a node about one service.
type service struct {
	name   string
	router *crrouter.Router
	// retries limits the retries of runs that may make calls, allowance those of all runs together with the calls of
	// repeated runs.
	retries   *crbudget.Ratio
	allowance *crbudget.Allowance
	// ranks tells the most important requests of clients from others.
	ranks cradmission.Ranks

	mu sync.Mutex
	// addresses holds the gate addresses and instances the server lifetimes, by node.
	addresses map[string]string
	instances map[string]instance
	// latencies holds the mean time of successful answers by route, in seconds.
	latencies map[string]float64
	speeds    crspeed.Comparison
}

// instance is a lifetime of a server and when this node first saw it.
type instance struct {
	name  string
	since time.Time
}

// services holds the services that the routes refer to.
type services struct {
	node   *Node
	mu     sync.Mutex
	byName map[string]*service
	// counts holds the number of servers of each service that has any.
	counts atomic.Pointer[map[string]int]
}

func (s *services) get(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byName[name]
	if v == nil {
		if s.byName == nil {
			s.byName = map[string]*service{}
		}
		set, nodes := s.node.Settings, 0
		v = &service{
			name: name, router: &crrouter.Router{Domain: set.Domain},
			retries:   retryBudget(set.RetryRatio * retryRatioShare),
			allowance: &crbudget.Allowance{Ratio: set.RetryRatio},
			addresses: map[string]string{}, instances: map[string]instance{},
			latencies: map[string]float64{},
		}
		for _, n := range s.serverCounts() {
			nodes += n
		}
		v.allowance.SetNodes(nodes)
		s.byName[name] = v
	}
	return v
}

func retryBudget(ratio float64) *crbudget.Ratio {
	return &crbudget.Ratio{PerSuccess: ratio, PerSecond: 1e-6, Burst: retryBurst}
}

// gateAddresses returns the gate addresses of all services.
func (s *services) gateAddresses() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]bool{}
	for _, v := range s.byName {
		v.mu.Lock()
		for _, a := range v.addresses {
			out[a] = true
		}
		v.mu.Unlock()
	}
	return out
}

// serverCounts returns the number of servers of each service that has any. Callers must not modify the map.
func (s *services) serverCounts() map[string]int {
	if m := s.counts.Load(); m != nil {
		return *m
	}
	return nil
}

// lacksServers reports whether a service has no server, while others have.
func (s *services) lacksServers(name string) bool {
	present := s.serverCounts()
	return len(present) > 0 && present[name] == 0
}

// assumedCost returns the cost assumed for a route of unknown cost: one second at each service that has servers.
func (s *services) assumedCost() crcost.Vector {
	v := crcost.Vector{}
	for name := range s.serverCounts() {
		v[name] = 1
	}
	return v
}

// updateServerCounts recomputes counts.
func (s *services) updateServerCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	present, nodes := map[string]int{}, 0
	for name, v := range s.byName {
		v.mu.Lock()
		if n := len(v.addresses); n > 0 {
			present[name] = n
			nodes += n
		}
		v.mu.Unlock()
	}
	s.counts.Store(&present)
	s.node.board.UpdateServers(present)
	for _, v := range s.byName {
		v.allowance.SetNodes(nodes)
	}
}

// updateServers processes the servers of a service as received from the directory.
func (n *Node) updateServers(name string, entries []*crwire.DirectoryEntry) {
	now := time.Now()
	s := n.services.get(name)
	servers := s.update(now, entries)
	s.router.Update(now, servers)
	s.speeds.Keep(func(node string) bool { return s.address(node) != "" })
	n.services.updateServerCounts()
	n.peers.closeUnknown(n.services.gateAddresses())
	n.Log.Emit(now, crevent.State, crevent.ServersChanged, crevent.KeyService, name, crevent.KeyCount, len(servers), crevent.KeyOf, len(entries))
}

func (s *service) update(now time.Time, entries []*crwire.DirectoryEntry) []crrouter.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.instances) == 0
	addresses, instances := map[string]string{}, map[string]instance{}
	var out []crrouter.Server
	for _, e := range entries {
		if e.GetState() != crdirectory.Serving {
			continue
		}
		in := s.instances[e.GetNode()]
		if in.name != e.GetInstance() {
			in = instance{name: e.GetInstance()}
			if !first {
				in.since = now
			}
		}
		addresses[e.GetNode()], instances[e.GetNode()] = e.GetAddress(), in
		out = append(out, crrouter.Server{ID: e.GetNode(), Domain: e.GetDomain(), Slots: int(e.GetSlots()), Started: in.since})
	}
	s.addresses, s.instances = addresses, instances
	return out
}

// latencySmoothing is the weight of one answer in the moving average of a route's latency.
const latencySmoothing = 0.05

// recordLatency adds a successful answer to the mean latency of the route.
func (s *service) recordLatency(route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.latencies[route]
	if !ok {
		old = took.Seconds()
	}
	s.latencies[route] = old + latencySmoothing*(took.Seconds()-old)
}

// meanLatency returns the mean latency of successful answers of the route; zero means unknown.
func (s *service) meanLatency(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.latencies[route] * float64(time.Second))
}

func (s *service) address(node string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[node]
}
