package crshed

import (
	"math"
	"sync"
	"time"
)

// Parameters of a Regulator.
const (
	// DefaultTarget is the default target utilization of a gate's concurrency limit. It is the full limit because a queue of a
	// few calls costs less than unused places; a gate has fewer places than its server has slots.
	DefaultTarget = 1.0
	// TickInterval is the time between calls of Regulator.Tick.
	TickInterval = 100 * time.Millisecond
	// offeredTimeConstant is the time constant of the moving averages of offered work. It averages over a few steps, since
	// a single step sees only some dozen calls.
	offeredTimeConstant = 100 * time.Millisecond
	// queueFactor and queueSquareFactor correct the measured demand for calls that queueing delays. queueFactor is the
	// additional demand, as a fraction of the measured one, for each full set of slots in the queue: a request makes its calls
	// one after the other and spends about half of its time in them. queueSquareFactor weights the square of the queue length,
	// since a long queue must drain before the requests that wait in it pass their deadlines.
	queueFactor       = 0.4
	queueSquareFactor = 0.3
	// MaxPressure limits the pressure; an entrance admits a few percent of the requests at any pressure.
	MaxPressure = 16.0
)

// Regulator computes the pressure on one server.
type Regulator struct {
	// Target is the target utilization of the gate's concurrency limit; zero means DefaultTarget.
	Target float64

	mu sync.Mutex
	// arrivedWork is the work of the calls that arrived in this step, in slot seconds; offeredWork is the work that would have
	// arrived if no request had been shed.
	arrivedWork, offeredWork float64
	// occupiedTime is the integral of the number of runs over this step, in slot seconds.
	occupiedTime               float64
	currentRuns, queued, limit int
	lastChange, lastTick       time.Time
	// offeredRatio is the ratio of offered to arrived work. demand is the work that reached the gate and offered the work that
	// would have reached it without shedding, both relative to the limit.
	offeredRatio, demand, offered float64
	pressure                      float64
}

// RecordArrival records a call that no other gate of the service has counted, whether this gate admits it or not. The call is
// expected to occupy the server for the duration takes. The share is the fraction of the work offered for the service that
// was admitted when the client request behind the call was admitted, so that the call represents 1/share calls.
func (r *Regulator) RecordArrival(takes time.Duration, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivedWork += takes.Seconds()
	r.offeredWork += takes.Seconds() / clampShare(share)
}

// RecordOccupancy records the number of runs on the server, the number of queued calls and the concurrency limit.
func (r *Regulator) RecordOccupancy(now time.Time, runs, queued, limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.integrateRuns(now)
	r.currentRuns, r.queued, r.limit = runs, queued, limit
}

func (r *Regulator) integrateRuns(now time.Time) {
	if !r.lastChange.IsZero() && now.After(r.lastChange) {
		r.occupiedTime += float64(r.currentRuns) * now.Sub(r.lastChange).Seconds()
	}
	r.lastChange = now
}

// Tick ends a measurement step and updates the pressure; call it every TickInterval.
func (r *Regulator) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.integrateRuns(now)
	if dt := now.Sub(r.lastTick); !r.lastTick.IsZero() && dt > 0 && r.limit > 0 {
		r.step(dt)
	}
	r.lastTick, r.arrivedWork, r.offeredWork, r.occupiedTime = now, 0, 0, 0
}

// step updates the pressure from the measurements of the last dt.
func (r *Regulator) step(dt time.Duration) {
	if r.offeredRatio == 0 {
		r.offeredRatio = 1
	}
	limit := float64(r.limit)
	// Runs that hang occupy the server for longer than their calls were expected to.
	waiting := float64(r.queued) / limit
	r.demand = max(r.arrivedWork, r.occupiedTime) / (dt.Seconds() * limit) *
		(1 + queueFactor*waiting + queueSquareFactor*waiting*waiting)
	if r.arrivedWork > 0 {
		r.offeredRatio += (r.offeredWork/r.arrivedWork - r.offeredRatio) * averageWeight(dt, offeredTimeConstant)
	}
	r.offered += (r.demand*r.offeredRatio - r.offered) * averageWeight(dt, offeredTimeConstant)
	r.pressure = min(r.offered/r.target(), MaxPressure)
}

func (r *Regulator) target() float64 {
	if r.Target == 0 {
		return DefaultTarget
	}
	return r.Target
}

// averageWeight returns the weight of a sample that covers dt in an exponential moving average with the time constant.
func averageWeight(dt, constant time.Duration) float64 {
	return 1 - math.Exp(-dt.Seconds()/constant.Seconds())
}

// Start sets the initial pressure of a gate that starts, as the other gates of the service report it.
func (r *Regulator) Start(pressure float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pressure = min(max(pressure, 0), MaxPressure)
	r.offeredRatio = max(r.pressure, 1)
	r.offered = r.pressure * r.target()
}

// Pressure returns the offered work as a multiple of the server's capacity; up to 1 nothing is shed.
func (r *Regulator) Pressure() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pressure
}

// Demand returns the work that reached the gate in the last step, relative to the limit.
func (r *Regulator) Demand() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.demand
}
