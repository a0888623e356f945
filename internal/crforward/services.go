package crforward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crbudget"
	"github.com/citronramp/citronramp/pkg/crcost"
	"github.com/citronramp/citronramp/pkg/crrouter"
)

// Bounds of repeated sends.
const (
	// retryShare is the part of the allowed ratio that one level of a call chain uses: the calls of a repeated run are
	// repeats at the services below, so the levels of a chain add up.
	retryShare = 0.25
	// leafShare is that part where the run makes no calls.
	leafShare = 0.6
	// retrySaved is how many repeats a node may save up; with one in each node all together stay within the slack.
	retrySaved = 1
)

// service is what a node knows about one service.
type service struct {
	name   string
	router *crrouter.Router
	// retries pays for repeats of runs that may make calls, leafRetries for those that make none.
	retries, leafRetries *crbudget.Ratio

	mu sync.Mutex
	// addresses are the gates by node, instances the lifetimes of the servers.
	addresses map[string]string
	instances map[string]instance
	// usual are the mean times of good answers by route, in seconds.
	usual map[string]float64
}

// instance is a lifetime of a server and when this node learned of it.
type instance struct {
	name  string
	since time.Time
}

// services are the services that the routes name.
type services struct {
	node *Node
	mu   sync.Mutex
	all  map[string]*service
	// present is the number of servers of each service that has any.
	present atomic.Pointer[map[string]int]
}

func (s *services) get(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.all[name]
	if v == nil {
		if s.all == nil {
			s.all = map[string]*service{}
		}
		set := s.node.Settings
		v = &service{
			name: name, router: &crrouter.Router{Domain: set.Domain},
			retries: retryBudget(set.RetryRatio * retryShare), leafRetries: retryBudget(set.RetryRatio * leafShare),
			addresses: map[string]string{}, instances: map[string]instance{},
			usual: map[string]float64{},
		}
		s.all[name] = v
	}
	return v
}

func retryBudget(ratio float64) *crbudget.Ratio {
	return &crbudget.Ratio{PerSuccess: ratio, PerSecond: 1e-6, Burst: retrySaved}
}

// known returns the gates of all services.
func (s *services) known() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]bool{}
	for _, v := range s.all {
		v.mu.Lock()
		for _, a := range v.addresses {
			out[a] = true
		}
		v.mu.Unlock()
	}
	return out
}

// withServers returns the number of servers of each service that has any; the map must not be changed.
func (s *services) withServers() map[string]int {
	if m := s.present.Load(); m != nil {
		return *m
	}
	return nil
}

// absent reports whether a service has no server, while others have.
func (s *services) absent(name string) bool {
	present := s.withServers()
	return len(present) > 0 && present[name] == 0
}

// everything returns all services with servers as if a route took a second of each.
func (s *services) everything() crcost.Vector {
	v := crcost.Vector{}
	for name := range s.withServers() {
		v[name] = 1
	}
	return v
}

// recount counts the servers of the services.
func (s *services) recount() {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := map[string]int{}
	for name, v := range s.all {
		v.mu.Lock()
		if n := len(v.addresses); n > 0 {
			present[name] = n
		}
		v.mu.Unlock()
	}
	s.present.Store(&present)
}

// takeSubset takes the servers of a service from the directory.
func (n *Node) takeSubset(name string, entries []*crwire.DirectoryEntry) {
	now := time.Now()
	s := n.services.get(name)
	servers := s.update(now, entries)
	s.router.Update(now, servers)
	n.services.recount()
	n.peers.retain(n.services.known())
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

// usualSmoothing is the weight of one answer in the mean time of a route.
const usualSmoothing = 0.05

// answered counts a good answer to a request of the route.
func (s *service) answered(route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.usual[route]
	if !ok {
		old = took.Seconds()
	}
	s.usual[route] = old + usualSmoothing*(took.Seconds()-old)
}

// usually returns the mean time of good answers to requests of the route; zero means unknown.
func (s *service) usually(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.usual[route] * float64(time.Second))
}

func (s *service) address(node string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[node]
}
