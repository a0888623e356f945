// Package crshed decides how much new work is turned away at the entrances of a service graph so that the service at the
// end of the chains keeps up. A Regulator at each gate turns the occupancy of its server into an intensity; the
// intensities travel on answers to the Board of every node; Shares turns them, the same way everywhere and without a
// message for each request, into the part of each priority that is let in.
//
// It answers the load pattern in which demand for one deep service exceeds its slots for seconds to minutes while every
// service above it has room: work that is let in must find its calls served, and what is least important goes first. All
// types take the present time and are safe for concurrent use.
package crshed

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// Figures of the regulation.
const (
	// DefaultTarget is the part of a server's slots that may be occupied or asked for. With 15 slots a run that finds this
	// load waits for less than a tenth of its own time (Erlang C); above it the wait grows fast.
	DefaultTarget = 0.9
	// TickInterval is the time between steps of a regulator.
	TickInterval = 100 * time.Millisecond
	// proportional is the intensity for an error of one, integral its growth in a second. Work that is let in occupies the
	// bottleneck for the run time of a chain, half a second, and its effect is seen a quarter of a second later.
	proportional = 0.8
	integral     = 0.8
	// integralNext is the growth once the least important priority is turned away as far as it may be: its effect is waited
	// for before the next one loses work.
	integralNext = 0.05
	// MaxIntensity turns away nearly all of the three lowest priorities.
	MaxIntensity = 3.0
	// maxError bounds the error that a step sees: a long queue is worked off by what was let in before, so it asks for no
	// more than a full stop of the least important work.
	maxError = 1.0
)

// Regulator computes the intensity of one server.
type Regulator struct {
	// Target has a default.
	Target float64

	mu sync.Mutex
	// level is the integral part of the intensity.
	level, intensity float64
	// area is the integral of occupancy over the step, in slot seconds; asked that of refused runs.
	area, asked float64
	busy        float64
	limit       int
	changed     time.Time
	stepped     time.Time
	demand      float64
}

// Occupied tells how many runs are on the server or wait for it, and how many may run.
func (r *Regulator) Occupied(now time.Time, running, waiting, limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.busy, r.limit = float64(running+waiting), limit
}

// Refused tells of a call that was turned away at the gate and would have taken the time.
func (r *Regulator) Refused(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked += took.Seconds()
}

func (r *Regulator) advance(now time.Time) {
	if !r.changed.IsZero() && now.After(r.changed) {
		r.area += r.busy * now.Sub(r.changed).Seconds()
	}
	r.changed = now
}

// Tick ends a step; call it every TickInterval.
func (r *Regulator) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	if r.stepped.IsZero() || r.limit == 0 {
		r.stepped, r.area, r.asked = now, 0, 0
		return
	}
	dt := now.Sub(r.stepped).Seconds()
	if dt <= 0 {
		return
	}
	r.demand = (r.area + r.asked) / (dt * float64(r.limit))
	r.stepped, r.area, r.asked = now, 0, 0
	target := r.Target
	if target == 0 {
		target = DefaultTarget
	}
	err := min(r.demand-target, maxError)
	// A process that stood still must not take one long step.
	dt = min(dt, 3*TickInterval.Seconds())
	gain := integral
	if err > 0 && r.level >= maxShed {
		gain = integralNext
	}
	r.level = min(max(r.level+gain*err*dt, 0), MaxIntensity)
	// Only a lasting error reaches a further priority; a passing one turns away what already loses work.
	r.intensity = min(max(r.level+proportional*err, 0), max(r.level, maxShed))
}

// Start sets the intensity that other gates of the service have, for a gate that starts.
func (r *Regulator) Start(intensity float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intensity = min(max(intensity, 0), MaxIntensity)
	r.level = r.intensity
}

// Intensity returns the present intensity; 0 turns nothing away.
func (r *Regulator) Intensity() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.intensity
}

// Demand returns the demand of the last step as a part of the limit.
func (r *Regulator) Demand() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.demand
}

// Figures of a board.
const (
	// holds is how long an intensity counts in full without news, and fades how long it then takes to reach zero.
	holds = 1500 * time.Millisecond
	fades = 2 * time.Second
	// maxServices bounds the services of a board.
	maxServices = 1024
	// steps is the number of steps of one that an intensity has.
	steps = 1e6
)

// Board holds what a node knows of the intensities of services.
type Board struct {
	mu       sync.Mutex
	services map[string]*posted
}

type posted struct {
	// gates are intensities that gates told this node themselves.
	gates map[string]stamped
	// passed is the freshest that another node passed on.
	passed stamped
}

type stamped struct {
	intensity float64
	at        time.Time
	// load is the number of runs on the server and before it, for what gates told themselves.
	load int
}

func (s stamped) value(now time.Time) float64 {
	age := now.Sub(s.at)
	if age <= holds {
		return s.intensity
	}
	return s.intensity * max(0, 1-float64(age-holds)/float64(fades))
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
func (b *Board) Heard(now time.Time, service, gate string, intensity float64, load int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.get(service)
	p.gates[gate] = stamped{intensity, now, load}
	for g, s := range p.gates {
		if now.Sub(s.at) > holds+fades {
			delete(p.gates, g)
		}
	}
}

// Passed stores what another node knew of a service, the given time ago.
func (b *Board) Passed(now time.Time, service string, intensity float64, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.get(service)
	if at := now.Add(-age); at.After(p.passed.at) {
		p.passed = stamped{intensity: intensity, at: at}
	}
}

// Intensity returns the mean over the gates that this node hears itself, each by its load, otherwise what was passed on.
// A gate whose server gets no work, since it fails or was ejected, says little of what work will meet.
func (b *Board) Intensity(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[service]
	if p == nil {
		return 0
	}
	v, _ := p.value(now)
	return v
}

func (p *posted) value(now time.Time) (intensity float64, at time.Time) {
	// Whole numbers add up to the same in any order of the map.
	sum, n := int64(0), int64(0)
	for _, s := range p.gates {
		if now.Sub(s.at) <= holds {
			sum += int64(s.load+1) * int64(math.Round(s.intensity*steps))
			n += int64(s.load + 1)
			if s.at.After(at) {
				at = s.at
			}
		}
	}
	if n > 0 {
		return float64(sum) / steps / float64(n), at
	}
	return p.passed.value(now), p.passed.at
}

// Entry is one service on a board as it is passed on.
type Entry struct {
	Service   string
	Intensity float64
	Age       time.Duration
}

// Entries returns at most n services that turn work away or did so lately, the highest intensity first.
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
		return cmp.Or(cmp.Compare(b.Intensity, a.Intensity), cmp.Compare(a.Service, b.Service))
	})
	return out[:min(n, len(out))]
}

// Figures of the shares.
const (
	// maxShed is the largest part of one priority that is turned away before the next one loses anything. It counts sends:
	// clients that repeat at once make three or four of one request, so that some of each kind are still served.
	maxShed = 0.97
	// seenFor is how long a priority counts as present after its last request.
	seenFor = 10 * time.Second
)

// Shares decides at one entrance which requests are let in. For the same share it lets in evenly spaced requests, so
// that small numbers don't swing.
type Shares struct {
	mu sync.Mutex
	// seen holds the priorities with requests that reach a service.
	seen map[string]map[int]time.Time
	// credit is the part of a request that is left over from those let in before, by route.
	credit map[string]float64
}

// Admit reports whether a request of the route, of a priority with 0 the most important, is let in when the service that
// binds it has the intensity.
func (s *Shares) Admit(now time.Time, route, service string, priority int, intensity float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen == nil {
		s.seen, s.credit = map[string]map[int]time.Time{}, map[string]float64{}
	}
	at := s.seen[service]
	if at == nil {
		at = map[int]time.Time{}
		s.seen[service] = at
	}
	at[priority] = now
	shed := Shed(intensity, s.below(now, at, priority))
	if shed == 0 {
		delete(s.credit, route)
		return true
	}
	if _, ok := s.credit[route]; !ok {
		s.credit[route] = shed
	}
	s.credit[route] += 1 - shed
	if s.credit[route] < 1 {
		return false
	}
	s.credit[route]--
	return true
}

// below counts the present priorities that lose work before this one.
func (s *Shares) below(now time.Time, at map[int]time.Time, priority int) int {
	n := 0
	for p, t := range at {
		switch {
		case now.Sub(t) > seenFor:
			delete(at, p)
		case p > priority:
			n++
		}
	}
	return n
}

// Shed returns the part of a priority that is turned away when the given number of present priorities lose work first.
func Shed(intensity float64, below int) float64 {
	return min(max(intensity-maxShed*float64(below), 0), maxShed)
}
