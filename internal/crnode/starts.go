package crnode

import (
	"time"

	"github.com/citronramp/citronramp/internal/crdirectory"
)

// maxSeen bounds the servers of a service whose starts are remembered; those that are no longer told go first.
const maxSeen = 4 * crdirectory.SubsetSize

// markStarts sets when each server was seen to start; the caller holds the lock. The first servers that are told serve
// already. A server that returns with the same start, after a lost lease for instance, is as warm as before. In a full
// subset an unknown server may only have been chosen anew, so it counts as warm.
func (s *service) markStarts(now time.Time, targets []target) {
	first := s.seen == nil
	if first {
		s.seen = make(map[string]target, len(targets))
	}
	rotates := len(targets) >= crdirectory.SubsetSize
	for i := range targets {
		t := &targets[i]
		before, known := s.seen[t.node]
		switch {
		case known && before.incarnation == t.incarnation && before.instance == t.instance:
			t.started = before.started
		case !first && (known || !rotates):
			t.started = now
		}
		s.seen[t.node] = *t
	}
	if len(s.seen) <= maxSeen {
		return
	}
	s.seen = make(map[string]target, len(targets))
	for _, t := range targets {
		s.seen[t.node] = t
	}
}
