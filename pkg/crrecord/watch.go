package crrecord

import (
	"slices"
	"time"
)

// FenceDelay is how long a group epoch must have been configured before a fence may replace its hand-over. Keepers
// grant claims for at most 10 s after they last confirmed the configuration, so after this time no earlier epoch
// grants claims, not even at keepers that are disconnected from the control instances.
const FenceDelay = 11 * time.Second

// GroupState is a member's report about a group.
type GroupState struct {
	Number uint32
	// Granting is the epoch in which the member grants claims, or zero.
	Granting uint64
	// Pending is the epoch whose hand-over the member waits for, or zero.
	Pending uint64
	// Needed is how many of the keepers in Missing must still be sealed.
	Needed  int
	Missing []Member
}

// HandoverMonitor determines, for the control leader, which groups grant claims in their configured epoch and which groups never
// will.
type HandoverMonitor struct {
	groups map[uint32]*watchedGroup
}

type watchedGroup struct {
	group   Group
	since   time.Duration
	started bool
	// reports are the reports of the members in the current round.
	reports map[nodeKey]GroupState
}

// Observe sets the configured groups and starts a new round, which discards the reports of the last one; now is a
// monotonic time.
func (w *HandoverMonitor) Observe(now time.Duration, present []Group) {
	if w.groups == nil {
		w.groups = make(map[uint32]*watchedGroup)
	}
	for _, g := range present {
		o := w.groups[g.Number]
		if o == nil || o.group.Epoch != g.Epoch {
			o = &watchedGroup{since: now, started: len(g.Previous) == 0}
			w.groups[g.Number] = o
		}
		o.group, o.reports = g, make(map[nodeKey]GroupState)
	}
}

// Unstarted returns, by number, the groups that are not known to grant claims in their configured epoch.
func (w *HandoverMonitor) Unstarted() map[uint32]Group {
	out := make(map[uint32]Group)
	for n, o := range w.groups {
		if !o.started {
			out[n] = o.group
		}
	}
	return out
}

// AddReport adds a member's report to the current round.
func (w *HandoverMonitor) AddReport(from Member, s GroupState) {
	o := w.groups[s.Number]
	if o == nil || !o.group.Has(from) {
		return
	}
	o.reports[keyOf(from)] = s
	granting := 0
	for _, t := range o.reports {
		if t.Granting == o.group.Epoch {
			granting++
		}
	}
	o.started = o.started || granting >= Majority(len(o.group.Members))
}

// Stuck returns the groups that have been configured for FenceDelay and whose hand-over cannot complete: a majority of
// the members waits for it, and too few of the keepers to seal are live. A member without a report counts as not
// waiting.
func (w *HandoverMonitor) Stuck(now time.Duration, live []Candidate) map[uint32]uint64 {
	out := make(map[uint32]uint64)
	liveNodes := make(map[nodeKey]bool)
	for _, c := range live {
		liveNodes[keyOf(c.Member)] = true
	}
	for n, o := range w.groups {
		if o.started || now-o.since < FenceDelay {
			continue
		}
		waiting := 0
		for _, s := range o.reports {
			reachable := slices.DeleteFunc(slices.Clone(s.Missing), func(m Member) bool { return !liveNodes[keyOf(m)] })
			if s.Pending == o.group.Epoch && len(reachable) < s.Needed {
				waiting++
			}
		}
		if waiting >= Majority(len(o.group.Members)) {
			out[n] = o.group.Epoch
		}
	}
	return out
}
