package crnode

import (
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/pkg/crbudget"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrouter"
)

// exclusionTime is how long a server that refused as leaving is excluded from routing, unless the directory is updated
// first.
const exclusionTime = 2 * time.Second

// kindInfo is a request kind of the configuration.
type kindInfo struct{ *crconfig.Kind }

// kind returns a kind of the configuration in force.
func (n *Node) kind(service, name string) (kindInfo, error) {
	if n.view.Version() == (crconfig.Version{}) {
		return kindInfo{}, &crcode.Error{Code: crcode.NotConfigured, RetryAfter: time.Second}
	}
	if k, ok := n.view.Kind(service, name); ok {
		return kindInfo{k}, nil
	}
	if _, ok := n.view.Service(service); ok {
		return kindInfo{}, crcode.New(crcode.UnknownKind, "%s/%s", service, name)
	}
	return kindInfo{}, crcode.New(crcode.UnknownService, "%s", service)
}

// target is one server of a service.
type target struct {
	node        string
	incarnation string
	// instance identifies the start of the backend server.
	instance string
	address  string
	domain   string
	slots    int
	// started is the time at which this node saw the server start; zero for a server that was already serving.
	started time.Time
	// sequence orders the directory entries of one incarnation.
	sequence uint64
}

// exclusion excludes a server from routing until a time, or until the directory has a newer entry of the server.
type exclusion struct {
	until       time.Time
	incarnation string
	sequence    uint64
}

// service is the state of one service that this node calls.
type service struct {
	name   string
	router *crrouter.Router
	ratio  crbudget.Ratio

	mu      sync.Mutex
	targets map[string]target
	// excluded holds the servers that refused new work.
	excluded map[string]exclusion
	// knownStarts holds the last known start of each server; nil until the first update.
	knownStarts map[string]target
}

// service returns the state of a service and creates it at the first call to the service.
func (n *Node) service(name string) *service {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	s, ok := n.services[name]
	if !ok {
		s = &service{name: name, router: &crrouter.Router{Domain: n.Settings.Domain}}
		n.services[name] = s
	}
	return s
}

// address returns the address and incarnation of a server's node.
func (s *service) address(node string) (addr, incarnation string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[node]
	return t.address, t.incarnation, ok
}

// update applies the servers that the directory assigned to this node.
func (s *service) update(now time.Time, targets []target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = make(map[string]target, len(targets))
	s.markStarts(now, targets)
	for _, t := range targets {
		s.targets[t.node] = t
		if h, ok := s.excluded[t.node]; ok && (t.incarnation != h.incarnation || t.sequence > h.sequence) {
			delete(s.excluded, t.node)
		}
	}
	s.refresh(now)
}

// exclude excludes a server from routing for exclusionTime after it refused new work.
func (s *service) exclude(now time.Time, node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.excluded == nil {
		s.excluded = make(map[string]exclusion)
	}
	t := s.targets[node]
	s.excluded[node] = exclusion{now.Add(exclusionTime), t.incarnation, t.sequence}
	s.refresh(now)
}

// tick ends the exclusions that have expired.
func (s *service) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for node, h := range s.excluded {
		if now.After(h.until) {
			delete(s.excluded, node)
			changed = true
		}
	}
	if changed {
		s.refresh(now)
	}
}

// refresh updates the servers of the router. The caller holds the lock.
func (s *service) refresh(now time.Time) {
	servers := make([]crrouter.Server, 0, len(s.targets))
	for _, t := range s.targets {
		if now.Before(s.excluded[t.node].until) {
			continue
		}
		servers = append(servers, crrouter.Server{ID: t.node, Domain: t.domain, Slots: t.slots, Started: t.started})
	}
	s.router.Update(now, servers)
}
