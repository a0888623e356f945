package crnode

import (
	"time"

	"github.com/citronramp/citronramp/internal/crdirectory"
)

// maxKnownStarts bounds the servers of a service whose starts are remembered. Above it, servers that are no longer in the
// subset are forgotten.
const maxKnownStarts = 4 * crdirectory.SubsetSize

// markStarts sets the start time of servers that need a slow start. The caller holds the lock. The servers of the first
// update were already serving. A server that returns with the same start, for example after an expired lease, keeps its
// start time. In a full subset an unknown server may only be newly assigned, so it gets no slow start.
func (s *service) markStarts(now time.Time, targets []target) {
	first := s.knownStarts == nil
	if first {
		s.knownStarts = make(map[string]target, len(targets))
	}
	fullSubset := len(targets) >= crdirectory.SubsetSize
	for i := range targets {
		t := &targets[i]
		before, known := s.knownStarts[t.node]
		switch {
		case known && before.incarnation == t.incarnation && before.instance == t.instance:
			t.started = before.started
		case !first && (known || !fullSubset):
			t.started = now
		}
		s.knownStarts[t.node] = *t
	}
	if len(s.knownStarts) <= maxKnownStarts {
		return
	}
	s.knownStarts = make(map[string]target, len(targets))
	for _, t := range targets {
		s.knownStarts[t.node] = t
	}
}
