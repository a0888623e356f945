package crshed

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// Parameters of a PressureTable.
const (
	// pressureHold is how long a pressure counts in full without an update; it then decays linearly to zero within
	// pressureDecay.
	pressureHold  = 1500 * time.Millisecond
	pressureDecay = 2 * time.Second
	// maxServices limits the services of a PressureTable.
	maxServices = 1024
	// pressureScale is the fixed-point scale at which pressures are summed.
	pressureScale = 1e6
)

// PressureTable is a node's table of the pressures on services.
type PressureTable struct {
	mu       sync.Mutex
	services map[string]*servicePressure
}

type servicePressure struct {
	// gates holds, by gate, the pressures that this node received from the gates directly.
	gates map[string]timedPressure
	// relayed is the most recent pressure that another node relayed.
	relayed timedPressure
}

type timedPressure struct {
	pressure float64
	at       time.Time
	// load is the number of runs on the gate's server and in its queue; it is zero for relayed pressures.
	load int
}

func (s timedPressure) value(now time.Time) float64 {
	age := now.Sub(s.at)
	if age <= pressureHold {
		return s.pressure
	}
	return s.pressure * max(0, 1-float64(age-pressureHold)/float64(pressureDecay))
}

func (b *PressureTable) getOrAdd(service string) *servicePressure {
	p := b.services[service]
	if p == nil {
		if b.services == nil {
			b.services = map[string]*servicePressure{}
		}
		p = &servicePressure{gates: map[string]timedPressure{}}
		if len(b.services) < maxServices {
			b.services[service] = p
		}
	}
	return p
}

// UpdateFromGate stores the pressure that a gate reported for its own server. The load is the number of runs on the server and in
// its queue.
func (b *PressureTable) UpdateFromGate(now time.Time, service, gate string, pressure float64, load int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.getOrAdd(service)
	p.gates[gate] = timedPressure{pressure, now, load}
	for g, s := range p.gates {
		if now.Sub(s.at) > pressureHold+pressureDecay {
			delete(p.gates, g)
		}
	}
}

// UpdateRelayed stores the pressure on a service that another node relayed; age is the time since it was measured.
func (b *PressureTable) UpdateRelayed(now time.Time, service string, pressure float64, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.getOrAdd(service)
	if at := now.Add(-age); at.After(p.relayed.at) {
		p.relayed = timedPressure{pressure: pressure, at: at}
	}
}

// Pressure returns the pressure on a service: the mean over the gates that reported directly to this node, weighted by load,
// or the relayed pressure if that is more recent. The weighting keeps a gate whose server gets no work, because it fails or
// was ejected, from lowering the mean.
func (b *PressureTable) Pressure(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[service]
	if p == nil {
		return 0
	}
	v, _ := p.value(now)
	return v
}

// value returns the pressure and its time: the weighted mean of the recent direct reports, unless the relayed pressure is
// more recent than their mean time.
func (p *servicePressure) value(now time.Time) (pressure float64, at time.Time) {
	// Integer sums do not depend on the iteration order of the map, unlike floating-point sums.
	sum, n, ages := int64(0), int64(0), time.Duration(0)
	for _, s := range p.gates {
		if age := now.Sub(s.at); age <= pressureHold {
			weight := int64(s.load + 1)
			sum += weight * int64(math.Round(s.pressure*pressureScale))
			n += weight
			ages += time.Duration(weight) * age
		}
	}
	if n > 0 {
		if at = now.Add(-ages / time.Duration(n)); !p.relayed.at.After(at) {
			return float64(sum) / pressureScale / float64(n), at
		}
	}
	return p.relayed.value(now), p.relayed.at
}

// Entry is the pressure on one service as a node relays it to others.
type Entry struct {
	Service  string
	Pressure float64
	Age      time.Duration
}

// Entries returns at most n services with a recent pressure, the highest pressure first.
func (b *PressureTable) Entries(now time.Time, n int) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Entry
	for service, p := range b.services {
		v, at := p.value(now)
		if age := now.Sub(at); age < pressureHold && !at.IsZero() {
			out = append(out, Entry{service, v, age})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Pressure, a.Pressure), cmp.Compare(a.Service, b.Service))
	})
	return out[:min(n, len(out))]
}
