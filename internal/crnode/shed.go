package crnode

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
)

// MethodShedding is the wire method that reports to operators which requests a node refuses.
const MethodShedding = "node.shedding"

// shedWindow is the time window in which refusals are counted for operators.
const shedWindow = 10 * time.Second

// maxShedKinds bounds the kinds that are counted in one window.
const maxShedKinds = 256

// shedCounts counts refusals by kind in the current window and keeps the counts of the previous one.
type shedCounts struct {
	mu       sync.Mutex
	started  time.Time
	current  map[[2]string]uint64
	previous map[[2]string]uint64
}

func (s *shedCounts) add(now time.Time, service, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	key := [2]string{service, kind}
	if _, ok := s.current[key]; !ok && len(s.current) >= maxShedKinds {
		return
	}
	s.current[key]++
}

// rotate starts a new window when the current one has ended. The caller holds the lock.
func (s *shedCounts) rotate(now time.Time) {
	age := now.Sub(s.started)
	if s.current != nil && age < shedWindow {
		return
	}
	s.previous = s.current
	if age >= 2*shedWindow {
		s.previous = nil
	}
	s.current, s.started = make(map[[2]string]uint64), now
}

// recent returns, for each kind, the larger count of the current and the previous window.
func (s *shedCounts) recent(now time.Time) map[[2]string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	out := maps.Clone(s.current)
	for k, n := range s.previous {
		out[k] = max(out[k], n)
	}
	return out
}

// handleShedding reports to a control instance which requests this node refused recently.
func (n *Node) handleShedding(context.Context, *crwire.Session, *crwire.SheddingRequest) (*crwire.SheddingResponse, error) {
	load := n.gate.load()
	out := &crwire.SheddingResponse{
		WindowMs: shedWindow.Milliseconds(),
		Why:      fmt.Sprintf("%s: limit %d, %d in flight, %d waiting, demand %.1f times the capacity", n.Settings.Service, load.Limit, load.InFlight, load.Queued, load.Pressure),
	}
	for k, refused := range n.shedKinds.recent(time.Now()) {
		out.Kinds = append(out.Kinds, &crwire.ShedKind{Service: k[0], Kind: k[1], Refused: refused})
	}
	return out, nil
}
