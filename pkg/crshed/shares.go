package crshed

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Figures of the shares.
const (
	// maxShed is the largest part of one priority that is turned away. It counts sends: clients that repeat at once make three
	// or four of one request, so that some of each kind are still served.
	maxShed = 0.97
	// mixFor is the time constant of the mix of requests at an entrance: some dozen requests where a few come each second.
	mixFor = 5 * time.Second
	// settleFor is the time constant with which priorities above the least important one follow a pressure that rises: the
	// work that was let in before stays for about a second, and turning away what matters more does not shorten that.
	settleFor = 1500 * time.Millisecond
	// cheaper is how many times less a priority takes of a service, for each request, than the one above it to lose no more
	// of its requests than that: turning it away first would cost many callers and free little.
	cheaper = 2.0
	// roundingError is above what sums of shares are off by.
	roundingError = 1e-9
	// forgotten is the number of requests, faded, below which a priority no longer counts as present.
	forgotten = 0.05
)

// Class is what the requests of one priority ask of a service; priority 0 is the most important one.
type Class struct {
	Priority int
	// Offered is the work that is asked for, Requests the number of requests that ask for it.
	Offered, Requests float64
}

// Allot returns the part of each class that is let in when the part share of all offered work can be done. The classes are
// in order, the most important first; a class never gets a smaller part than one behind it.
func Allot(classes []Class, share float64) []float64 {
	if share >= 1 {
		return slices.Repeat([]float64{1}, len(classes))
	}
	left := 0.0
	for _, c := range classes {
		left += share * c.Offered
	}
	parts := make([]float64, 0, len(classes))
	for len(parts) < len(classes) {
		group, n := pool(classes[len(parts):])
		part := 1.0
		if group.Offered > 0 {
			part = min(max(left/group.Offered, 1-maxShed), 1)
		}
		left = max(left-part*group.Offered, 0)
		parts = append(parts, slices.Repeat([]float64{part}, n)...)
	}
	return parts
}

// pool returns the sum of the first classes that lose the same part, and their number: the first one and those behind it that
// are much cheaper.
func pool(classes []Class) (Class, int) {
	sum := classes[0]
	for i, c := range classes[1:] {
		if c.Offered*sum.Requests*cheaper >= sum.Offered*c.Requests {
			return sum, i + 1
		}
		sum.Offered += c.Offered
		sum.Requests += c.Requests
	}
	return sum, len(classes)
}

// Shares decides at one entrance which requests are let in. For the same share it lets in evenly spaced requests, so
// that small numbers don't swing.
type Shares struct {
	mu sync.Mutex
	// mixes hold what requests asked of a service lately.
	mixes map[string]*mix
	// credit is the part of a request that is left over from those let in before, by route.
	credit map[string]float64
}

// mix is what requests of each priority asked of one service, fading with time.
type mix struct {
	at      time.Time
	classes []Class
	// settled follows the pressure, up with a delay.
	settled   float64
	settledAt time.Time
}

// Offer counts a request that takes the time of the service, whether it is let in or not.
func (s *Shares) Offer(now time.Time, service string, priority int, takes time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mixes[service]
	if m == nil {
		if s.mixes == nil {
			s.mixes = map[string]*mix{}
		}
		m = &mix{at: now, settledAt: now}
		s.mixes[service] = m
	}
	m.fade(now)
	c := m.class(priority)
	c.Offered += takes.Seconds()
	c.Requests++
}

// class returns the class of a priority and adds it when it is new.
func (m *mix) class(priority int) *Class {
	i, ok := m.find(priority)
	if !ok {
		m.classes = slices.Insert(m.classes, i, Class{Priority: priority})
	}
	return &m.classes[i]
}

func (m *mix) find(priority int) (int, bool) {
	return slices.BinarySearchFunc(m.classes, priority, func(c Class, p int) int { return cmp.Compare(c.Priority, p) })
}

func (m *mix) fade(now time.Time) {
	dt := now.Sub(m.at)
	if dt <= 0 {
		return
	}
	m.at = now
	keep := 1 - progress(dt, mixFor)
	for i := range m.classes {
		m.classes[i].Offered *= keep
		m.classes[i].Requests *= keep
	}
	m.classes = slices.DeleteFunc(m.classes, func(c Class) bool { return c.Requests < forgotten })
}

// settle follows the pressure: down at once, up with a delay.
func (m *mix) settle(now time.Time, pressure float64) float64 {
	dt := now.Sub(m.settledAt)
	m.settledAt = now
	m.settled = min(pressure, m.settled+(pressure-m.settled)*progress(max(dt, 0), settleFor))
	return m.settled
}

// parts returns the parts of the classes to let in.
func (m *mix) parts(now time.Time, pressure float64) []float64 {
	parts := Allot(m.classes, 1/max(m.settle(now, pressure), 1))
	if n := len(parts); n > 0 {
		parts[n-1] = Allot(m.classes, 1/max(pressure, 1))[n-1]
	}
	return parts
}

// Share returns the part of a priority that is let in for a service under the pressure. Requests of a priority that was not
// offered lately are let in like the least important ones.
func (s *Shares) Share(now time.Time, service string, priority int, pressure float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mixes[service]
	if m == nil || len(m.classes) == 0 {
		return unmixed(pressure)
	}
	parts := m.parts(now, pressure)
	i, _ := m.find(priority)
	return parts[min(i, len(parts)-1)]
}

// Passed returns the part of all the work offered for a service that is let in under the pressure.
func (s *Shares) Passed(now time.Time, service string, pressure float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mixes[service]
	if m == nil {
		return unmixed(pressure)
	}
	offered, passed := 0.0, 0.0
	for i, part := range m.parts(now, pressure) {
		offered += m.classes[i].Offered
		passed += part * m.classes[i].Offered
	}
	if offered == 0 {
		return unmixed(pressure)
	}
	return passed / offered
}

// unmixed is the share of an entrance that knows no requests for the service.
func unmixed(pressure float64) float64 { return max(1/max(pressure, 1), 1-maxShed) }

// Admit reports whether a request of the route is let in when a share of its requests is.
func (s *Shares) Admit(route string, share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit == nil {
		s.credit = map[string]float64{}
	}
	if share >= 1 {
		delete(s.credit, route)
		return true
	}
	if _, ok := s.credit[route]; !ok {
		s.credit[route] = 1 - share
	}
	s.credit[route] += share
	if s.credit[route] < 1-roundingError {
		return false
	}
	s.credit[route]--
	return true
}

// Hints when to come back.
const (
	// hintLeast keeps clients from coming back before anything can have changed.
	hintLeast = 20 * time.Millisecond
	// hintLate is the least hint for a client whose answer is late anyway: demand goes and servers return within seconds.
	hintLate = time.Second
)

// ComeBack returns when a client that is turned away should come back. Spare is how much later its request may start for the
// answer to be in time: while there is some, the client comes back early enough to be in time, as it will not be turned away
// for ever. Hints are spread by rnd, a random duration below its argument, so that clients do not return together.
func ComeBack(spare time.Duration, rnd func(time.Duration) time.Duration) time.Duration {
	if spare < 4*hintLeast {
		return hintLate + rnd(hintLate)
	}
	return spare/4 + rnd(spare/4)
}
