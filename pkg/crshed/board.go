package crshed

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// Figures of a board.
const (
	// holds is how long a pressure counts in full without news, and fades how long it then takes to reach zero.
	holds = 1500 * time.Millisecond
	fades = 2 * time.Second
	// maxServices bounds the services of a board.
	maxServices = 1024
	// steps is the number of steps of one that a pressure has.
	steps = 1e6
)

// Board holds what a node knows of the pressures on services.
type Board struct {
	mu       sync.Mutex
	services map[string]*posted
}

type posted struct {
	// gates are pressures that gates told this node themselves.
	gates map[string]stamped
	// passed is the freshest that another node passed on.
	passed stamped
}

type stamped struct {
	pressure float64
	at       time.Time
	// load is the number of runs on the server and before it, for what gates told themselves.
	load int
}

func (s stamped) value(now time.Time) float64 {
	age := now.Sub(s.at)
	if age <= holds {
		return s.pressure
	}
	return s.pressure * max(0, 1-float64(age-holds)/float64(fades))
}

func (b *Board) get(service string) *posted {
	p := b.services[service]
	if p == nil {
		if b.services == nil {
			b.services = map[string]*posted{}
		}
		p = &posted{gates: map[string]stamped{}}
		if len(b.services) < maxServices {
			b.services[service] = p
		}
	}
	return p
}

// Heard stores what a gate told of its own server; load is the number of runs on it and before it.
func (b *Board) Heard(now time.Time, service, gate string, pressure float64, load int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.get(service)
	p.gates[gate] = stamped{pressure, now, load}
	for g, s := range p.gates {
		if now.Sub(s.at) > holds+fades {
			delete(p.gates, g)
		}
	}
}

// Passed stores what another node knew of a service, the given time ago.
func (b *Board) Passed(now time.Time, service string, pressure float64, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.get(service)
	if at := now.Add(-age); at.After(p.passed.at) {
		p.passed = stamped{pressure: pressure, at: at}
	}
}

// Pressure returns the mean over the gates that this node hears itself, each by its load, or what was passed on when that is fresher.
// A gate whose server gets no work, since it fails or was ejected, says little of what work will meet.
func (b *Board) Pressure(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[service]
	if p == nil {
		return 0
	}
	v, _ := p.value(now)
	return v
}

// value returns the pressure with the time that it is from: the mean over the gates that were heard lately, unless another node
// has passed on one that is fresher than these are on average.
func (p *posted) value(now time.Time) (pressure float64, at time.Time) {
	// Whole numbers add up to the same in any order of the map.
	sum, n, ages := int64(0), int64(0), time.Duration(0)
	for _, s := range p.gates {
		if age := now.Sub(s.at); age <= holds {
			weight := int64(s.load + 1)
			sum += weight * int64(math.Round(s.pressure*steps))
			n += weight
			ages += time.Duration(weight) * age
		}
	}
	if n > 0 {
		if at = now.Add(-ages / time.Duration(n)); !p.passed.at.After(at) {
			return float64(sum) / steps / float64(n), at
		}
	}
	return p.passed.value(now), p.passed.at
}

// Entry is one service on a board as it is passed on.
type Entry struct {
	Service  string
	Pressure float64
	Age      time.Duration
}

// Entries returns at most n services that were heard of lately, the highest pressure first.
func (b *Board) Entries(now time.Time, n int) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Entry
	for service, p := range b.services {
		v, at := p.value(now)
		if age := now.Sub(at); age < holds && !at.IsZero() {
			out = append(out, Entry{service, v, age})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Pressure, a.Pressure), cmp.Compare(a.Service, b.Service))
	})
	return out[:min(n, len(out))]
}
