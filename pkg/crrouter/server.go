package crrouter

import (
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
)

const (
	// SlowStart is the time over which a cold server's share of the traffic grows to its full share.
	SlowStart = 5 * time.Second
	// returnStart is the shorter slow start after an ejection.
	returnStart = time.Second
	// feedbackExpiry is how long load and level feedback is used. It is limited so that a server without traffic is
	// tried again.
	feedbackExpiry = time.Second
	// loadedScore is the load from which servers in other failure domains are considered.
	loadedScore = 0.7
	// domainRoundTrip is the round trip to another failure domain (1 to 1.5 ms one way). minCrossing is the least advantage, in
	// run times, of a server there: with less, callers that hear late of each other's calls move between domains at the
	// same time.
	domainRoundTrip = 2800 * time.Microsecond
	minCrossing     = 0.25
	// queueScore is the load from which a further call is expected to wait, and queueCost the weight of the load above it. A
	// queue also delays the calls behind it, so that a free slot of a slow server is better than a queue at a fast one.
	queueScore = 0.9
	queueCost  = 16
	// refusalCost is the cost, in run times, of a request that a server refuses: it takes a retry from the budget, or fails
	// together with the runs of the same chain.
	refusalCost = 3
	// clearFactor is the ratio of factors from which a server is clearly better; servers of equal speed that are measured
	// separately differ by less.
	clearFactor = 1.25
	// crossingFactor is the ratio of factors from which a server of another failure domain is considered for an unloaded one: a
	// neighbour that slows a machine 2.5 times for half a second is not worth it.
	crossingFactor = 3.0
	// clearAge is the age of a report up to which a server may be selected without having been drawn. Without this bound 600
	// callers, which hear rarely of each server, overloaded the fastest ones (replay at load 0.9: mean 192 ms, 103 ms with it).
	clearAge = feedbackExpiry / 2
	// speedExpiry is the time over which the lasting speed of a server without traffic returns to 1, so that it is tried
	// again. acceptanceExpiry is how long its acceptance counts: refusals come and go within seconds.
	// slownessExpiry is how long its present slowness counts, which is about as long as neighbours disturb a machine.
	speedExpiry      = 20 * time.Second
	slownessExpiry   = 600 * time.Millisecond
	acceptanceExpiry = 2 * time.Second
	// maxPace bounds the speed of a server relative to the others, so that false figures cannot attract the traffic.
	// minAcceptance bounds the acceptance, so that one server's weight does not become zero.
	maxPace       = 2.0
	minAcceptance = 0.05

	// Numbers of failures in a row that eject a server. A timeout counts more, since it has already cost the caller
	// its whole waiting time.
	failuresInRow    = 5
	timeoutsInRow    = 3
	unreachableInRow = 2
	// maxErrorRate is the error rate that ejects a server without failures in a row, if it is also above twice the mean
	// rate of the other servers. In a chain of ten calls of which a third reach such a server, four of ten runs fail.
	maxErrorRate = 0.15
	// minSamples is the number of answers required before error rates and latencies are compared.
	minSamples = 20
	// A server is slow if its latency exceeds slowFactor times the median of the service, and exceeds the median by
	// slowMargin seconds.
	slowFactor = 4
	slowMargin = 0.020
	// An ejection lasts ejectBase, doubled each time up to ejectMax. A recovered server is back in use within 2 s.
	ejectBase = 500 * time.Millisecond
	ejectMax  = 1600 * time.Millisecond
	// leavingTime is how long a server that reported that it is leaving gets no requests. The directory reports the
	// departure or a new start of the server before that time ends, unless the control instances are unreachable.
	leavingTime = 3 * time.Second
	// probesToReturn is the number of successful probes in a row that end an ejection.
	probesToReturn = 3
	// ejectionMemory is the time in use after which former ejections no longer extend the next one.
	ejectionMemory = 10 * time.Second
)

// server is the state of one server: its load, its measurements and its ejection.
type server struct {
	Server
	local      bool // in the caller's failure domain
	inFlight   int
	feedback   Feedback
	feedbackAt time.Time
	warmFrom   time.Time // start of the slow start; zero means warm

	failures    int     // in a row, including timeouts and unreachable results
	timeouts    int     // in a row
	unreachable int     // in a row
	errorRate   float64 // moving average
	latency     float64 // seconds, moving average
	samples     int

	ejected      bool
	ejectedUntil time.Time
	ejections    int
	returnedAt   time.Time
	probing      bool
	goodProbes   int

	// awayUntil is the time until which a leaving server gets no requests.
	awayUntil time.Time

	probeStart          time.Time
	callsBeforeEjection int // calls in flight at the ejection whose ends are still to be expected
}

func (s *server) take() Server {
	s.inFlight++
	return s.Server
}

func (s *server) takeProbe(now time.Time) Server {
	s.probing, s.probeStart = true, now
	return s.take()
}

// probeDue reports whether the ejection time is over and no probe is in flight. A probe that takes too long does not
// block the next one.
func (s *server) probeDue(now time.Time) bool {
	return !now.Before(s.ejectedUntil) && (!s.probing || now.Sub(s.probeStart) >= ejectMax)
}

func (s *server) level(now time.Time) cradmission.Priority {
	if now.Sub(s.feedbackAt) >= feedbackExpiry {
		return 0
	}
	return s.feedback.Level
}

func (s *server) admits(now time.Time, p cradmission.Priority) bool {
	// The age of the feedback matters only below the level; comparing times for each server would be a third of the
	// cost of Pick.
	return p >= s.feedback.Level || p.Probe() || p >= s.level(now)
}

// completion is the expected time until one more call is answered by the server, in run times of a usual server, with the cost
// of the refusals before it. Below queueScore the load counts too, since reports of it are late and clumps of calls should
// spread. Among servers of equal speed and acceptance the order is that of their load.
func (s *server) completion(now time.Time) float64 {
	load := s.load(now)
	speed, acceptance := s.figures(now)
	return (1+load+queueCost*max(load-queueScore, 0))/speed + refusalCost*(1-acceptance)/acceptance
}

// load is the expected load of the server with one more call: own calls in flight plus the reported load, which is
// weighted less as it ages. The error rate increases it, so that fast error answers attract no traffic.
func (s *server) load(now time.Time) float64 {
	limit := s.Slots
	if s.feedback.Limit > 0 {
		limit = s.feedback.Limit
	}
	capacity := float64(max(limit, 1))
	load := float64(s.inFlight+1) / capacity
	if fresh := 1 - float64(now.Sub(s.feedbackAt))/float64(feedbackExpiry); fresh > 0 {
		load += min(fresh, 1) * float64(s.feedback.InFlight+s.feedback.Queued) / capacity
	}
	return load * (1 + 4*s.errorRate)
}

// factor is the weight of the server: the product of its warmth, speed and acceptance.
func (s *server) factor(now time.Time) float64 { return s.warmth(now) * s.pace(now) }

// pace is the product of speed and acceptance.
func (s *server) pace(now time.Time) float64 {
	speed, acceptance := s.figures(now)
	return speed * acceptance
}

// figures returns the present speed and the acceptance of the server.
func (s *server) figures(now time.Time) (speed, acceptance float64) {
	f := &s.feedback
	if f.Speed == 0 && f.Slowness == 0 && f.Acceptance == 0 {
		return 1, 1
	}
	age := now.Sub(s.feedbackAt)
	speed = towardsOne(f.Speed, age, speedExpiry) / towardsOne(f.Slowness, age, slownessExpiry)
	return min(speed, maxPace), max(towardsOne(f.Acceptance, age, acceptanceExpiry), minAcceptance)
}

// towardsOne returns a reported figure, which returns to 1 in the second half of its expiry time. Zero is an unknown figure.
func towardsOne(figure float64, age, expiry time.Duration) float64 {
	if figure <= 0 || age >= expiry {
		return 1
	}
	return 1 + (figure-1)*min(2*float64(expiry-age)/float64(expiry), 1)
}

// warmth grows from 0.1 to 1 during the slow start.
func (s *server) warmth(now time.Time) float64 {
	if s.warmFrom.IsZero() {
		return 1
	}
	part := float64(now.Sub(s.warmFrom)) / float64(SlowStart)
	return min(max(part, 0.1), 1)
}

// recordResult updates a server's measurements with the result of one call, and ejects or returns the server.
func (r *Router) recordResult(now time.Time, s *server, res Result) {
	probe := s.ejected && s.probing
	// A call that began before the ejection has a higher latency than the probe can have yet.
	if probe && s.callsBeforeEjection > 0 && res.Latency > now.Sub(s.probeStart) {
		s.callsBeforeEjection--
		probe = false
	}
	switch res.Outcome {
	case Leaving:
		s.awayUntil = now.Add(leavingTime)
		if probe {
			s.probing = false
		}
		return
	case Refused, Cancelled:
		if probe {
			s.probing = false
		}
		return
	case OK:
		s.failures, s.timeouts, s.unreachable = 0, 0, 0
		s.updateErrorRate(0)
		s.updateLatency(s.usualLatency(res))
	case TimedOut:
		s.timeouts++
		s.recordFailure()
	case Unreachable:
		s.unreachable++
		s.recordFailure()
	default:
		s.timeouts, s.unreachable = 0, 0
		s.recordFailure()
	}
	if probe {
		r.recordProbe(now, s, res)
		return
	}
	if !s.ejected && r.shouldEject(s) {
		r.eject(now, s)
	}
}

func (r *Router) recordProbe(now time.Time, s *server, res Result) {
	s.probing = false
	if res.Outcome != OK || r.slow(s, s.usualLatency(res)) {
		s.goodProbes = 0
		s.extendEjection(now)
		return
	}
	s.goodProbes++
	if s.goodProbes < probesToReturn {
		return
	}
	s.ejected, s.goodProbes = false, 0
	s.errorRate, s.latency, s.samples, s.failures = 0, 0, 0, 0
	s.returnedAt = now
	s.warmFrom = now.Add(returnStart - SlowStart)
}

// shouldEject reports whether the measurements of the server require its ejection.
func (r *Router) shouldEject(s *server) bool {
	if s.timeouts >= timeoutsInRow || s.unreachable >= unreachableInRow {
		return true
	}
	// If all servers have similar error rates, ejecting one only loses its capacity.
	othersRate, known := r.otherErrorRate(s)
	if s.failures >= failuresInRow && s.errorRate > 2*othersRate {
		return true
	}
	if s.samples < minSamples {
		return false
	}
	if known && s.errorRate > maxErrorRate && s.errorRate > 2*othersRate {
		return true
	}
	// Comparing latencies sorts up to 20 numbers, so it is done for one answer in eight.
	return s.samples%8 == 0 && r.slow(s, s.latency)
}

func (r *Router) slow(s *server, latency float64) bool {
	m := r.median(s, func(o *server) float64 { return o.latency })
	return m > 0 && latency > slowFactor*m && latency > m+slowMargin
}

// otherErrorRate returns the mean error rate of the other servers, including ejected ones, and whether one is known.
func (r *Router) otherErrorRate(except *server) (rate float64, known bool) {
	n := 0
	for _, o := range r.servers {
		if o != except && (o.samples >= minSamples || o.ejected) {
			rate += o.errorRate
			n++
		}
	}
	if n == 0 {
		return 0, false
	}
	return rate / float64(n), true
}

// median returns the lower median of a measurement over the other servers in use that have enough samples, or zero if
// there are none.
func (r *Router) median(except *server, figure func(*server) float64) float64 {
	var buf [MaxServers]float64
	n := 0
	for _, o := range r.servers {
		if o != except && !o.ejected && o.samples >= minSamples {
			buf[n] = figure(o)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	slices.Sort(buf[:n])
	return buf[(n-1)/2]
}

// eject ejects the server unless more than half of the servers would be ejected.
func (r *Router) eject(now time.Time, s *server) {
	out := 1
	for _, o := range r.servers {
		if o.ejected {
			out++
		}
	}
	if 2*out > len(r.servers) {
		return
	}
	if !s.returnedAt.IsZero() && now.Sub(s.returnedAt) > ejectionMemory {
		s.ejections = 0
	}
	s.ejected, s.probing, s.goodProbes, s.callsBeforeEjection = true, false, 0, s.inFlight
	s.extendEjection(now)
}

func (s *server) extendEjection(now time.Time) {
	s.ejectedUntil = now.Add(min(ejectBase<<min(s.ejections, 2), ejectMax))
	s.ejections++
}

func (s *server) recordFailure() {
	s.failures++
	s.updateErrorRate(1)
}

func (s *server) updateErrorRate(bad float64) {
	s.samples++
	s.errorRate += 0.1 * (bad - s.errorRate)
}

// usualLatency returns the latency of a call in seconds without the present slowness of the server: one that reports that it
// works slowly gets less traffic for it and is not ejected.
func (s *server) usualLatency(res Result) float64 {
	return res.Latency.Seconds() / max(s.feedback.Slowness, 1)
}

func (s *server) updateLatency(latency float64) {
	if s.latency == 0 {
		s.latency = latency
		return
	}
	s.latency += 0.1 * (latency - s.latency)
}
