package crnode

import (
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/pkg/crbudget"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrouter"
)

// leaveHold keeps a server that said it is leaving out of the choice until the directory has caught up.
const leaveHold = 2 * time.Second

// kindInfo is a request kind with what a node derives from it.
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

// target is one server that a service can be reached at.
type target struct {
	node        string
	incarnation string
	// instance names the start of the backend server.
	instance string
	address  string
	domain   string
	slots    int
	// started is when the server was seen to start, zero for one that served before.
	started time.Time
	// sequence orders the entries of one incarnation in the directory.
	sequence uint64
}

// hold keeps a server out of the choice until a time, or until the directory has a newer entry of it.
type hold struct {
	until       time.Time
	incarnation string
	sequence    uint64
}

// service is what this node knows of one service that it calls.
type service struct {
	name   string
	router *crrouter.Router
	ratio  crbudget.Ratio

	mu      sync.Mutex
	targets map[string]target
	// left holds the servers that refused new work.
	left map[string]hold
	// seen are the starts of servers known so far; nil until the first servers are told.
	seen map[string]target
}

// service returns the entry of a service, made at the first call to it.
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

// address returns where the gate of a server is reached.
func (s *service) address(node string) (addr, incarnation string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[node]
	return t.address, t.incarnation, ok
}

// update takes the servers that the directory gave this node.
func (s *service) update(now time.Time, targets []target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = make(map[string]target, len(targets))
	s.markStarts(now, targets)
	for _, t := range targets {
		s.targets[t.node] = t
		if h, ok := s.left[t.node]; ok && (t.incarnation != h.incarnation || t.sequence > h.sequence) {
			delete(s.left, t.node)
		}
	}
	s.refresh(now)
}

// leave keeps a server out of the choice for a while after it refused new work.
func (s *service) leave(now time.Time, node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left == nil {
		s.left = make(map[string]hold)
	}
	t := s.targets[node]
	s.left[node] = hold{now.Add(leaveHold), t.incarnation, t.sequence}
	s.refresh(now)
}

// tick lets servers return whose hold is over.
func (s *service) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for node, h := range s.left {
		if now.After(h.until) {
			delete(s.left, node)
			changed = true
		}
	}
	if changed {
		s.refresh(now)
	}
}

// refresh tells the router which servers there are; the caller holds the lock.
func (s *service) refresh(now time.Time) {
	servers := make([]crrouter.Server, 0, len(s.targets))
	for _, t := range s.targets {
		if now.Before(s.left[t.node].until) {
			continue
		}
		servers = append(servers, crrouter.Server{ID: t.node, Domain: t.domain, Slots: t.slots, Started: t.started})
	}
	s.router.Update(now, servers)
}
