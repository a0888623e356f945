package crnode

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
)

// MethodShedding is the wire method that tells operators what a node refuses.
const MethodShedding = "node.shedding"

// shedWindow is the time over which refusals are counted for operators.
const shedWindow = 10 * time.Second

// maxShedKinds bounds the kinds that are counted in one window.
const maxShedKinds = 256

// shedCounts counts refusals by kind in the present window and keeps the last full one.
type shedCounts struct {
	mu      sync.Mutex
	started time.Time
	now     map[[2]string]uint64
	last    map[[2]string]uint64
}

func (s *shedCounts) add(now time.Time, service, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	key := [2]string{service, kind}
	if _, ok := s.now[key]; !ok && len(s.now) >= maxShedKinds {
		return
	}
	s.now[key]++
}

// rotate starts a new window when the present one is over; the caller holds the lock.
func (s *shedCounts) rotate(now time.Time) {
	age := now.Sub(s.started)
	if s.now != nil && age < shedWindow {
		return
	}
	s.last = s.now
	if age >= 2*shedWindow {
		s.last = nil
	}
	s.now, s.started = make(map[[2]string]uint64), now
}

// recent returns the larger of the present and the last window for each kind.
func (s *shedCounts) recent(now time.Time) map[[2]string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	out := maps.Clone(s.now)
	for k, n := range s.last {
		out[k] = max(out[k], n)
	}
	return out
}

// handleShedding tells a control instance what this node refused lately.
func (n *Node) handleShedding(context.Context, *crwire.Session, *crwire.SheddingRequest) (*crwire.SheddingResponse, error) {
	fb := n.gate.feedback()
	out := &crwire.SheddingResponse{
		WindowMs: shedWindow.Milliseconds(),
		Why:      fmt.Sprintf("%s: limit %d, %d in flight, %d waiting, demand %.1f times the capacity", n.Settings.Service, fb.Limit, fb.InFlight, fb.Queued, fb.Pressure),
	}
	for k, refused := range n.shedKinds.recent(time.Now()) {
		out.Kinds = append(out.Kinds, &crwire.ShedKind{Service: k[0], Kind: k[1], Refused: refused})
	}
	return out, nil
}
