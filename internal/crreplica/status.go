package crreplica

import (
	"time"

	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// Status is the state of a replica for the state dump. Some dumps contain it as JSON under the names of its fields,
// including those of crlog.Status, so these names must not change.
type Status struct {
	crlog.Status
	// StateApplied is the index of the last entry that the state machine has applied.
	StateApplied uint64
	// LogBytes is the size of the segment on disk.
	LogBytes int64
	// LastError is the error that stopped the replica from voting and acknowledging; nil while it works.
	LastError error
	// Overflow counts the messages that full queues have dropped.
	Overflow uint64
	// At is the time at which the status was taken, a time of crclock.
	At time.Time
}

// Status returns the state of the replica after the last iteration of the log loop, which is at most a few ticks ago
// while the replica runs. Leads and Lease account for the time since then.
func (r *Replica) Status() Status {
	s := *r.status.Load()
	s.Lease = max(0, s.Lease-crclock.Since(s.At))
	s.Leads = s.Leads && s.Lease > 0 && s.LastError == nil && r.runContext.Err() == nil
	return s
}

func (r *Replica) updateStatus(now time.Time) {
	s := Status{
		Status: r.node.Status(now), StateApplied: r.waiters.appliedIndex(), LastError: r.failure, At: now,
		Overflow: r.inbox.Overflow(),
	}
	if r.Store != nil {
		s.LogBytes = r.Store.Size()
	}
	for _, p := range r.senders {
		s.Overflow += p.queue.Overflow()
	}
	r.status.Store(&s)
}
