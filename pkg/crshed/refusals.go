package crshed

import (
	"math"
	"sync"
	"time"
)

// Parameters of Refusals.
const (
	// refusalTimeConstant is the time constant of the counts of accepted and refused runs at a busy server, where it follows a
	// change within a few steps. rareTimeConstant is that at a server with few runs, which needs more time for enough of them.
	refusalTimeConstant = 80 * time.Millisecond
	rareTimeConstant    = 300 * time.Millisecond
	// busyRuns is the decayed number of runs from which a server counts as busy; the error of the share is a tenth then.
	busyRuns = 25.0
	// minRefusals is the decayed number of refused runs, and refusalsBegin the share of refused runs, from which a server counts
	// as refusing. A lightly loaded server that refuses a few runs does not reach them.
	minRefusals   = 8.0
	refusalsBegin = 0.1
	// refusalsEnd is the share below which a server no longer counts as refusing. It is half of refusalsBegin, so that a share
	// near the limit does not change the capacity of a service several times a second.
	refusalsEnd = refusalsBegin / 2
	// minRefusalSamples is the decayed number of runs below which the share is not measured anew. A server that callers avoid
	// gets few runs.
	minRefusalSamples = 8.0
	// refusalMemory is the time constant with which an unmeasured share decays, so that a server that gets no runs at all is
	// tried again.
	refusalMemory = 2 * time.Second
	// fullShare is the share of a server's limit in use from which a refusal may mean that the server is full. A full server
	// is visible as load and queue already, and its refusals would count twice.
	fullShare = 0.9
)

// Refusals estimates the share of runs that one server refuses although it has free slots.
type Refusals struct {
	mu sync.Mutex
	// recent decays with refusalTimeConstant, all with rareTimeConstant.
	recent, all runOutcomes
	share       float64
	refusing    bool
	at          time.Time
}

// runOutcomes holds decayed numbers of runs.
type runOutcomes struct{ accepted, refused float64 }

func (o *runOutcomes) record(refused bool) {
	if refused {
		o.refused++
	} else {
		o.accepted++
	}
}

func (o *runOutcomes) runs() float64 { return o.accepted + o.refused }

func (o *runOutcomes) decay(dt, constant time.Duration) {
	keep := 1 - averageWeight(dt, constant)
	o.accepted *= keep
	o.refused *= keep
}

// Record counts a run that the server accepted or refused while the given number of its limit was in use.
func (r *Refusals) Record(refused bool, running, limit int) {
	if float64(running) >= fullShare*float64(limit) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent.record(refused)
	r.all.record(refused)
}

// Tick updates the share; call it every TickInterval.
func (r *Refusals) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	dt := max(now.Sub(r.at), 0)
	if r.at.IsZero() {
		dt = 0
	}
	r.at = now
	switch {
	case r.recent.runs() >= busyRuns:
		r.share = r.recent.refused / r.recent.runs()
	case r.all.runs() >= minRefusalSamples:
		r.share = r.all.refused / r.all.runs()
	default:
		r.share *= math.Exp(-dt.Seconds() / refusalMemory.Seconds())
	}
	switch {
	case r.share < refusalsEnd:
		r.refusing = false
	case r.share >= refusalsBegin && r.all.refused >= minRefusals:
		r.refusing = true
	}
	r.recent.decay(dt, refusalTimeConstant)
	r.all.decay(dt, rareTimeConstant)
}

// Share returns the share of runs that the server refuses; it is zero unless the server counts as refusing.
func (r *Refusals) Share() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.refusing {
		return 0
	}
	return r.share
}

// Reset forgets all runs, for a new lifetime of the server.
func (r *Refusals) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent, r.all, r.share, r.refusing, r.at = runOutcomes{}, runOutcomes{}, 0, false, time.Time{}
}
