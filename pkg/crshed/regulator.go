package crshed

import (
	"math"
	"sync"
	"time"
)

// Figures of the regulation.
const (
	// DefaultTarget is the part of a gate's places that may be asked for: a queue of a few calls costs less than places without
	// work. A gate has fewer places than its server has slots.
	DefaultTarget = 1.0
	// TickInterval is the time between steps of a regulator.
	TickInterval = 100 * time.Millisecond
	// offeredFor is the time constant with which the offered work follows what is measured: a few steps, since a single one
	// sees some dozen calls.
	offeredFor = 100 * time.Millisecond
	// heldBack is how much more would be asked for, as a part of what is, for each full set of slots that waits: the calls of
	// a chain come one after the other, and about half of its time is spent in them. heldMore is what the square adds: a long
	// queue has to be gone before the chains in it run out of time.
	heldBack = 0.4
	heldMore = 0.3
	// MaxPressure bounds the pressure; an entrance lets a few requests in a hundred in anyway.
	MaxPressure = 16.0
)

// Regulator computes the pressure on one server.
type Regulator struct {
	// Target has a default.
	Target float64

	mu sync.Mutex
	// asked is the work of the calls of this step in slot seconds, offering that of the calls which would have come if everything
	// had been let in.
	asked, offering float64
	// running is the integral of the runs over the step, in slot seconds.
	running             float64
	busy, queued, limit int
	changed, stepped    time.Time
	// weight is how many calls would have come for each that did, by the work; demand is what reached the gate, and offered what
	// would have, as parts of the limit.
	weight, demand, offered float64
	pressure                float64
}

// Arrived tells of a call that no other gate of the service has counted, whether this one takes it or not. It takes the time
// on the server. Share is the part of the work offered for the service that was let in when the client's request was that it
// belongs to: it stands for so many more that were turned away then.
func (r *Regulator) Arrived(takes time.Duration, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked += takes.Seconds()
	r.offering += takes.Seconds() / clampShare(share)
}

// Occupied tells how many runs are on the server, how many calls wait for it, and how many runs there may be.
func (r *Regulator) Occupied(now time.Time, running, queued, limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.busy, r.queued, r.limit = running, queued, limit
}

func (r *Regulator) advance(now time.Time) {
	if !r.changed.IsZero() && now.After(r.changed) {
		r.running += float64(r.busy) * now.Sub(r.changed).Seconds()
	}
	r.changed = now
}

// Tick ends a step; call it every TickInterval.
func (r *Regulator) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	if dt := now.Sub(r.stepped); !r.stepped.IsZero() && dt > 0 && r.limit > 0 {
		r.step(dt)
	}
	r.stepped, r.asked, r.offering, r.running = now, 0, 0, 0
}

// step takes what was measured in a time into the pressure.
func (r *Regulator) step(dt time.Duration) {
	if r.weight == 0 {
		r.weight = 1
	}
	limit := float64(r.limit)
	// Runs that hang ask for more than their calls did.
	waiting := float64(r.queued) / limit
	r.demand = max(r.asked, r.running) / (dt.Seconds() * limit) * (1 + heldBack*waiting + heldMore*waiting*waiting)
	if r.asked > 0 {
		r.weight += (r.offering/r.asked - r.weight) * progress(dt, offeredFor)
	}
	r.offered += (r.demand*r.weight - r.offered) * progress(dt, offeredFor)
	r.pressure = min(r.offered/r.target(), MaxPressure)
}

func (r *Regulator) target() float64 {
	if r.Target == 0 {
		return DefaultTarget
	}
	return r.Target
}

// progress returns which part of its way a moving average with the time constant goes in a time.
func progress(dt, constant time.Duration) float64 {
	return 1 - math.Exp(-dt.Seconds()/constant.Seconds())
}

// Start sets the pressure that other gates of the service tell, for a gate that starts.
func (r *Regulator) Start(pressure float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pressure = min(max(pressure, 0), MaxPressure)
	r.weight = max(r.pressure, 1)
	r.offered = r.pressure * r.target()
}

// Pressure returns the work that is offered as a multiple of what the server can do; up to 1 nothing is turned away.
func (r *Regulator) Pressure() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pressure
}

// Demand returns what reached the gate in the last step as a part of the limit.
func (r *Regulator) Demand() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.demand
}
