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
	// usefulCapacityAge is how long a computed useful capacity is used; gates update their refusals as often.
	usefulCapacityAge = 50 * time.Millisecond
	// refusingHold is how long a relayed pressure of a service whose servers refuse runs takes precedence over newer ones from
	// nodes that do not know of the refusals. It is longer than the time in which relayed pressures reach all nodes.
	refusingHold = 500 * time.Millisecond
	// retryPeriod is the period over which the ratio of retries holds. refusingGap is the time without refusals after which they
	// begin anew.
	retryPeriod = 10 * time.Second
	refusingGap = time.Second
	// inUsePart is the part of its limit from which the load of a gate counts no more: 1/inUsePart.
	inUsePart = 4
	// pressureScale is the fixed-point scale at which pressures are summed.
	pressureScale = 1e6
)

// PressureTable is a node's table of the pressures on services.
type PressureTable struct {
	// RetryRatio is the allowed ratio of retries to calls; zero means DefaultRetryRatio.
	RetryRatio float64

	mu       sync.Mutex
	services map[string]*servicePressure
}

type servicePressure struct {
	// gates holds, by gate, the pressures that this node received from the gates directly.
	gates map[string]timedPressure
	// relayed is the most recent pressure that another node relayed.
	relayed timedPressure
	// servers is the number of servers of the service, zero if unknown.
	servers int
	// refusing is the pressure relative to the useful capacity, computed at refusingAt.
	refusing   float64
	refusingAt time.Time
	// refusingSince is when the servers began to refuse runs.
	refusingSince time.Time
}

type timedPressure struct {
	pressure float64
	at       time.Time
	// load is the number of runs on the gate's server and in its queue; it is zero for relayed pressures.
	load int
	// refusing is set if servers of the service refuse runs.
	refusing bool
	// server is the capacity of the gate's server; its limit is zero if unknown.
	server ServerCapacity
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
	p.gates[gate] = timedPressure{pressure: pressure, at: now, load: load, server: p.gates[gate].server, refusing: p.gates[gate].refusing}
	for g, s := range p.gates {
		if now.Sub(s.at) > pressureHold+pressureDecay {
			delete(p.gates, g)
		}
	}
}

// UpdateCapacity stores the limit of a gate's server and the share of runs that the server refuses. It follows UpdateFromGate.
func (b *PressureTable) UpdateCapacity(service, gate string, server ServerCapacity) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.services[service]; p != nil {
		if t, ok := p.gates[gate]; ok {
			t.server, t.refusing = server, server.Refused > 0
			p.gates[gate] = t
		}
	}
}

// UpdateServers stores the number of servers of each service.
func (b *PressureTable) UpdateServers(counts map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, n := range counts {
		b.getOrAdd(service).servers = n
	}
}

// UpdateRelayed stores the pressure on a service that another node relayed; age is the time since it was measured.
func (b *PressureTable) UpdateRelayed(now time.Time, service string, pressure float64, age time.Duration) {
	b.StoreEntry(now, Entry{Service: service, Pressure: pressure, Age: age})
}

// StoreEntry stores an entry that another node relayed.
func (b *PressureTable) StoreEntry(now time.Time, e Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.getOrAdd(e.Service)
	at, after := now.Add(-e.Age), p.relayed.at
	if p.relayed.refusing && !e.Refusing {
		after = after.Add(refusingHold)
	}
	if at.After(after) {
		p.relayed = timedPressure{pressure: e.Pressure, at: at, refusing: e.Refusing}
	}
}

// Pressure returns the pressure on a service: the mean over the gates that reported directly to this node, weighted by the
// capacity that is in use, or the relayed pressure if that is more recent.
func (b *PressureTable) Pressure(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[service]
	if p == nil {
		return 0
	}
	return p.value(now, b.retryRatio()).value(now)
}

// DirectPressure returns the pressure on a service for requests that make a single call there: refusals of the servers do not
// raise it, because each refused call is lost by itself, whether others are admitted or not.
func (b *PressureTable) DirectPressure(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[service]
	if p == nil {
		return 0
	}
	if direct, _, known := p.direct(now); known > 0 {
		return direct.pressure
	}
	return p.relayed.value(now)
}

// Refusing reports whether servers of a service refuse runs although they have free slots.
func (b *PressureTable) Refusing(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[service]
	if p == nil {
		return false
	}
	v := p.value(now, b.retryRatio())
	return v.refusing && now.Sub(v.at) <= pressureHold
}

func (b *PressureTable) retryRatio() float64 {
	if b.RetryRatio == 0 {
		return DefaultRetryRatio
	}
	return b.RetryRatio
}

// value returns the weighted mean of the recent direct reports, unless the relayed pressure is more recent than their mean
// time. While servers refuse runs, the pressure is at least the offered work as a multiple of the useful capacity.
func (p *servicePressure) value(now time.Time, retries float64) timedPressure {
	direct, age, known := p.direct(now)
	if known == 0 {
		return p.relayed
	}
	if direct.refusing {
		direct.pressure = max(direct.pressure, p.refusingPressure(now, retries))
	}
	if direct.refusing || p.relayed.refusing {
		age = p.ageWithMissing(age, known)
	}
	if direct.at = now.Add(-age); p.relayed.at.After(direct.at) {
		return p.relayed
	}
	return direct
}

// weight returns the weight of a gate in the mean. Gates in use count by their capacity: the router fills fast servers first, so
// that weights by load would take the pressure of the fullest ones for that of the service. A gate whose server gets almost no
// work, because it fails or was ejected, counts little.
func (s timedPressure) weight() int64 {
	inUse := int64(s.load + 1)
	if s.server.Limit <= 0 {
		return inUse
	}
	return min(inUse, max(int64(s.server.Limit)/inUsePart, 1))
}

// direct returns the weighted mean of the recent direct reports, their mean age and their number.
func (p *servicePressure) direct(now time.Time) (mean timedPressure, age time.Duration, known int) {
	// Integer sums do not depend on the iteration order of the map, unlike floating-point sums.
	sum, n, ages := int64(0), int64(0), time.Duration(0)
	for _, s := range p.gates {
		if age := now.Sub(s.at); age <= pressureHold {
			weight := s.weight()
			sum += weight * int64(math.Round(s.pressure*pressureScale))
			n += weight
			ages += time.Duration(weight) * age
			known++
			mean.refusing = mean.refusing || s.refusing
		}
	}
	if n == 0 {
		return timedPressure{}, 0, 0
	}
	mean.pressure = float64(sum) / pressureScale / float64(n)
	return mean, ages / time.Duration(n), known
}

// ageWithMissing returns the mean age of the direct reports if servers without a recent report count as being pressureHold old.
// Servers that refuse runs differ in pressure from the others, so that a few fresh reports do not show that of the service.
func (p *servicePressure) ageWithMissing(age time.Duration, known int) time.Duration {
	missing := max(p.servers-known, 0)
	return (time.Duration(known)*age + time.Duration(missing)*pressureHold) / time.Duration(known+missing)
}

// refusingPressure returns the work offered to the gates with a known capacity as a multiple of their useful capacity.
func (p *servicePressure) refusingPressure(now time.Time, retries float64) float64 {
	if age := now.Sub(p.refusingAt); age >= 0 && age < usefulCapacityAge {
		return p.refusing
	}
	var servers []ServerCapacity
	offered := int64(0)
	for _, s := range p.gates {
		if now.Sub(s.at) <= pressureHold {
			servers = append(servers, s.server)
			offered += int64(math.Round(s.pressure * float64(s.server.Limit) * pressureScale))
		}
	}
	work := float64(offered) / pressureScale
	if now.Sub(p.refusingAt) > refusingGap {
		p.refusingSince = now
	}
	p.refusing, p.refusingAt = 0, now
	recent := 0.0
	if now.Sub(p.refusingSince) < retryPeriod {
		recent = work
	}
	if useful := UsefulCapacity(servers, work, recent, retries, DefaultChainCalls); useful > 0 {
		p.refusing = min(work/useful, MaxPressure)
	}
	return p.refusing
}

// Entry is the pressure on one service as a node relays it to others.
type Entry struct {
	Service  string
	Pressure float64
	Age      time.Duration
	// Refusing is set if servers of the service refuse runs.
	Refusing bool
}

// Entries returns at most n services with a recent pressure, the highest pressure first.
func (b *PressureTable) Entries(now time.Time, n int) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Entry
	for service, p := range b.services {
		v := p.value(now, b.retryRatio())
		if age := now.Sub(v.at); age < pressureHold && !v.at.IsZero() {
			out = append(out, Entry{service, v.value(now), age, v.refusing})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Pressure, a.Pressure), cmp.Compare(a.Service, b.Service))
	})
	return out[:min(n, len(out))]
}
