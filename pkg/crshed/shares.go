package crshed

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// Parameters of Admitter.
const (
	// maxShedFraction is the largest fraction of one priority that is shed. It applies to attempts: clients that retry at
	// once send a request three or four times, so that some requests of each kind are still served.
	maxShedFraction = 0.97
	// mixTimeConstant is the time constant of the request mix at an entrance; it covers some dozen requests where a few
	// arrive per second.
	mixTimeConstant = 5 * time.Second
	// riseTimeConstant is the time constant with which all priorities but the least important one follow a rising
	// pressure. Work admitted earlier stays for about a second, and shedding more important requests does not shorten
	// that.
	riseTimeConstant = 1500 * time.Millisecond
	// cheapFactor is the factor by which a request of one priority must cost less of a service than a request of the
	// priorities above it for its priority to be shed no more than those. Shedding it first would refuse many requests and
	// free little capacity.
	cheapFactor = 2.0
	// littleFactor is the factor by which a request must cost less of a service than the mean request of its priority for it to be
	// shed less than those: refusing it frees almost nothing, and a cost that small may be an error of the estimate.
	littleFactor = 4.0
	// roundingTolerance is an upper bound of the rounding errors in sums of shares.
	roundingTolerance = 1e-9
	// minPresentRequests is the decayed number of requests below which a priority no longer counts as present.
	minPresentRequests = 0.05
)

// Class is the load that the requests of one priority put on a service; priority 0 is the most important one.
type Class struct {
	Priority int
	// Offered is the work that the requests ask for, in seconds, and Requests is their number.
	Offered, Requests float64
}

// AllocateShares returns the fraction of each class to admit when the service has capacity for the given share of all
// offered work. The classes are ordered, the most important first; a class never gets a smaller fraction than a less
// important one.
func AllocateShares(classes []Class, share float64) []float64 {
	if share >= 1 {
		return slices.Repeat([]float64{1}, len(classes))
	}
	capacity := 0.0
	for _, c := range classes {
		capacity += share * c.Offered
	}
	fractions := make([]float64, 0, len(classes))
	for len(fractions) < len(classes) {
		group, n := mergeCheap(classes[len(fractions):])
		fraction := 1.0
		if group.Offered > 0 {
			fraction = min(max(capacity/group.Offered, 1-maxShedFraction), 1)
		}
		capacity = max(capacity-fraction*group.Offered, 0)
		fractions = append(fractions, slices.Repeat([]float64{fraction}, n)...)
	}
	return fractions
}

// mergeCheap merges the leading classes that are shed alike, and returns their sum and number: the first class and the
// following ones whose requests are cheaper than those merged so far by cheapFactor.
func mergeCheap(classes []Class) (Class, int) {
	sum := classes[0]
	for i, c := range classes[1:] {
		if c.Offered*sum.Requests*cheapFactor >= sum.Offered*c.Requests {
			return sum, i + 1
		}
		sum.Offered += c.Offered
		sum.Requests += c.Requests
	}
	return sum, len(classes)
}

// Admitter decides which requests an entrance admits. It spaces the admitted requests of a route evenly, so that the admitted
// rate does not fluctuate at small numbers.
type Admitter struct {
	mu sync.Mutex
	// mixes holds the recent request mix by service.
	mixes map[string]*mix
	// credit is, by route, the fraction of the next admitted request that has accumulated from shares.
	credit map[string]float64
}

// mix is the load that the requests of each priority put on one service; it decays exponentially.
type mix struct {
	at      time.Time
	classes []Class
	// smoothed follows the pressure, with a delay when it rises.
	smoothed   float64
	smoothedAt time.Time
}

// RecordOffered counts a request that needs the duration takes of the service, whether it is admitted or not.
func (s *Admitter) RecordOffered(now time.Time, service string, priority int, takes time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mixes[service]
	if m == nil {
		if s.mixes == nil {
			s.mixes = map[string]*mix{}
		}
		m = &mix{at: now, smoothedAt: now}
		s.mixes[service] = m
	}
	m.decay(now)
	c := m.class(priority)
	c.Offered += takes.Seconds()
	c.Requests++
}

// class returns the class of a priority and adds it if it is missing.
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

func (m *mix) decay(now time.Time) {
	dt := now.Sub(m.at)
	if dt <= 0 {
		return
	}
	m.at = now
	keep := 1 - averageWeight(dt, mixTimeConstant)
	for i := range m.classes {
		m.classes[i].Offered *= keep
		m.classes[i].Requests *= keep
	}
	m.classes = slices.DeleteFunc(m.classes, func(c Class) bool { return c.Requests < minPresentRequests })
}

// smooth updates the smoothed pressure and returns it: it falls at once and rises with a delay.
func (m *mix) smooth(now time.Time, pressure float64) float64 {
	dt := now.Sub(m.smoothedAt)
	m.smoothedAt = now
	m.smoothed = min(pressure, m.smoothed+(pressure-m.smoothed)*averageWeight(max(dt, 0), riseTimeConstant))
	return m.smoothed
}

// admittedFractions returns the fraction of each class to admit. Only the least important class follows the pressure
// without a delay.
func (m *mix) admittedFractions(now time.Time, pressure float64) []float64 {
	fractions := AllocateShares(m.classes, 1/max(m.smooth(now, pressure), 1))
	if n := len(fractions); n > 0 {
		fractions[n-1] = AllocateShares(m.classes, 1/max(pressure, 1))[n-1]
	}
	return fractions
}

// AdmittedFraction returns the fraction of a priority to admit for a service under the pressure. A priority without recent
// requests gets the fraction of the next less important class, or of the least important one.
func (s *Admitter) AdmittedFraction(now time.Time, service string, priority int, pressure float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mixes[service]
	if m == nil || len(m.classes) == 0 {
		return defaultShare(pressure)
	}
	fractions := m.admittedFractions(now, pressure)
	i, _ := m.find(priority)
	return fractions[min(i, len(fractions)-1)]
}

// UnsmoothedFraction returns the fraction of a priority to admit under a pressure that holds for some requests only. It does not
// count for the smoothed pressure of the service.
func (s *Admitter) UnsmoothedFraction(service string, priority int, pressure float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mixes[service]
	if m == nil || len(m.classes) == 0 {
		return defaultShare(pressure)
	}
	fractions := AllocateShares(m.classes, 1/max(pressure, 1))
	i, _ := m.find(priority)
	return fractions[min(i, len(fractions)-1)]
}

// FractionOfLittle returns the fraction to admit of the requests of a priority that need the duration takes of the service, when
// the given fraction of the priority is admitted. It is larger only for requests that cost littleFactor less than the mean.
func (s *Admitter) FractionOfLittle(service string, priority int, takes time.Duration, fraction float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mixes[service]
	if m == nil || fraction >= 1 {
		return fraction
	}
	i, ok := m.find(priority)
	if !ok || m.classes[i].Requests == 0 {
		return fraction
	}
	part := takes.Seconds() * m.classes[i].Requests / m.classes[i].Offered
	if part*littleFactor > 1 {
		return fraction
	}
	return math.Pow(fraction, part)
}

// TotalAdmittedFraction returns the share of all work offered for a service that is admitted under the pressure.
func (s *Admitter) TotalAdmittedFraction(now time.Time, service string, pressure float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mixes[service]
	if m == nil {
		return defaultShare(pressure)
	}
	offered, admitted := 0.0, 0.0
	for i, fraction := range m.admittedFractions(now, pressure) {
		offered += m.classes[i].Offered
		admitted += fraction * m.classes[i].Offered
	}
	if offered == 0 {
		return defaultShare(pressure)
	}
	return admitted / offered
}

// defaultShare is the share that is admitted for a service without recent requests.
func defaultShare(pressure float64) float64 { return max(1/max(pressure, 1), 1-maxShedFraction) }

// Admit reports whether a request of the route is admitted when the given share of the route's requests is to be admitted.
func (s *Admitter) Admit(route string, share float64) bool {
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
	if s.credit[route] < 1-roundingTolerance {
		return false
	}
	s.credit[route]--
	return true
}

// Bounds of the retry delays.
const (
	// minRetryDelay keeps clients from retrying before the load can have changed.
	minRetryDelay = 20 * time.Millisecond
	// minLateRetryDelay is the minimum delay for a request that cannot be answered in time any more: demand falls and
	// servers return within seconds.
	minLateRetryDelay = time.Second
)

// RetryDelay returns the delay after which a client whose request was shed should retry. The spare time is how much later the
// request may start and still be answered in time; if there is enough, the client retries within half of it, since it may
// need several attempts. rnd returns a random duration below its argument and spreads the retries of different clients.
func RetryDelay(spare time.Duration, rnd func(time.Duration) time.Duration) time.Duration {
	if spare < 4*minRetryDelay {
		return minLateRetryDelay + rnd(minLateRetryDelay)
	}
	return spare/4 + rnd(spare/4)
}
