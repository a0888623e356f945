package crrecord

import (
	"slices"
	"time"
)

// FenceAfter is how long a group epoch must have been configured before a fence may end the wait for its hand-over.
// Keepers grant for 10 s at most after they last confirmed the configuration, so no earlier epoch is granted by then,
// not even at keepers that are cut off.
const FenceAfter = 11 * time.Second

// GroupState is what a member tells about a group.
type GroupState struct {
	Number uint32
	// Granting is the epoch in which the member grants, or zero.
	Granting uint64
	// Pending is the epoch whose hand-over the member waits for, or zero.
	Pending uint64
	// Needed is how many of the keepers in Missing must still be sealed.
	Needed  int
	Missing []Member
}

// Watch tells the control leader which groups grant in their configured epoch, and which never will.
type Watch struct {
	groups map[uint32]*watched
}

type watched struct {
	group   Group
	since   time.Duration
	started bool
	// states holds what the members told in the present round.
	states map[nodeKey]GroupState
}

// Observe takes the configured groups; now is a monotonic time. What was told in the last round is forgotten.
func (w *Watch) Observe(now time.Duration, present []Group) {
	if w.groups == nil {
		w.groups = make(map[uint32]*watched)
	}
	for _, g := range present {
		o := w.groups[g.Number]
		if o == nil || o.group.Epoch != g.Epoch {
			o = &watched{since: now, started: len(g.Previous) == 0}
			w.groups[g.Number] = o
		}
		o.group, o.states = g, make(map[nodeKey]GroupState)
	}
}

// Unstarted returns the groups that are not known to grant in their configured epoch, by number.
func (w *Watch) Unstarted() map[uint32]Group {
	out := make(map[uint32]Group)
	for n, o := range w.groups {
		if !o.started {
			out[n] = o.group
		}
	}
	return out
}

// Told takes what a member told in this round.
func (w *Watch) Told(from Member, s GroupState) {
	o := w.groups[s.Number]
	if o == nil || !o.group.Has(from) {
		return
	}
	o.states[keyOf(from)] = s
	granting := 0
	for _, t := range o.states {
		if t.Granting == o.group.Epoch {
			granting++
		}
	}
	o.started = o.started || granting >= Majority(len(o.group.Members))
}

// Stuck returns the groups that have been configured for FenceAfter and whose hand-over a majority of the members
// waits for in vain, since too few of the keepers to seal are live. A member that told nothing counts as not waiting.
func (w *Watch) Stuck(now time.Duration, live []Candidate) map[uint32]uint64 {
	out := make(map[uint32]uint64)
	alive := make(map[nodeKey]bool)
	for _, c := range live {
		alive[keyOf(c.Member)] = true
	}
	for n, o := range w.groups {
		if o.started || now-o.since < FenceAfter {
			continue
		}
		waiting := 0
		for _, s := range o.states {
			reachable := slices.DeleteFunc(slices.Clone(s.Missing), func(m Member) bool { return !alive[keyOf(m)] })
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
