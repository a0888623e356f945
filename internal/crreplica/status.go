package crreplica

import (
	"time"

	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// Status is the state of a replica for the state dump.
type Status struct {
	crlog.Status
	// StateApplied is the index that the state machine has reached.
	StateApplied uint64
	// LogBytes is the size of the segment on disk.
	LogBytes int64
	// LastError is why the replica stopped voting and acknowledging; nil while it works.
	LastError error
	// Overflow counts messages dropped by full rings.
	Overflow uint64
	// At is when the status was taken, a time of crclock.
	At time.Time
}

// Status returns the state of the replica as of its last round, at most a few ticks ago while it runs. Leads and Lease
// are corrected for the time since.
func (r *Replica) Status() Status {
	s := *r.status.Load()
	s.Lease = max(0, s.Lease-crclock.Since(s.At))
	s.Leads = s.Leads && s.Lease > 0 && s.LastError == nil && r.running.Err() == nil
	return s
}

func (r *Replica) publish(now time.Time) {
	s := Status{
		Status: r.node.Status(now), StateApplied: r.waiting.appliedIndex(), LastError: r.failed, At: now,
		Overflow: r.inbox.Overflow(),
	}
	if r.Store != nil {
		s.LogBytes = r.Store.Size()
	}
	for _, p := range r.senders {
		s.Overflow += p.ring.Overflow()
	}
	r.status.Store(&s)
}
