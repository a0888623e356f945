package crrouter

import (
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
)

const (
	// SlowStart is how long a cold server's share of the traffic grows to its full part.
	SlowStart = 5 * time.Second
	// returnStart is the shorter slow start after an ejection.
	returnStart = time.Second
	// feedbackExpiry ends the effect of load and level feedback, so that a server without traffic is tried again.
	feedbackExpiry = time.Second
	// loaded is the score from which other failure domains are considered, and distance the advantage that they need:
	// one round trip of 2 to 3 ms is worth less than waiting behind a busy server.
	loaded   = 0.7
	distance = 0.25

	// Numbers of bad ends in a row that eject a server. A timeout has already cost the caller its whole wait.
	failuresInRow    = 5
	timeoutsInRow    = 3
	unreachableInRow = 2
	// maxErrors is the share of failed answers that ejects a server without a row, when it is also twice the median. A chain
	// of ten calls of which a third meets such a server loses four runs in ten.
	maxErrors = 0.15
	// minSamples is the number of answers before shares and latencies are judged.
	minSamples = 20
	// A server is slow at outlier times the service's median, and outlierMin above it.
	outlier    = 4
	outlierMin = 0.020
	// An ejection lasts ejectBase, doubled each time up to ejectMax; a recovered server is back within 2 s.
	ejectBase = 500 * time.Millisecond
	ejectMax  = 1600 * time.Millisecond
	// leaving is how long a server that says that it leaves gets no work; the directory tells the same or a new start of the
	// server before, unless the control instances cannot be reached.
	leaving = 3 * time.Second
	// probesToReturn is the number of good probes in a row that end an ejection.
	probesToReturn = 3
	// forget is the time in use after which former ejections no longer count.
	forget = 10 * time.Second
)

// server is what a router knows about one server.
type server struct {
	Server
	local      bool // in the caller's failure domain
	inFlight   int
	feedback   Feedback
	feedbackAt time.Time
	warmFrom   time.Time // start of the slow start; zero means warm

	failures    int // in a row, timeouts and unreachable ends included
	timeouts    int // in a row
	unreachable int // in a row
	errors      float64
	latency     float64 // seconds, moving average
	samples     int

	ejected   bool
	until     time.Time
	ejections int
	returned  time.Time
	probing   bool
	probeOK   int

	// away is until when a server that said that it leaves gets no work.
	away time.Time

	probeStart time.Time
	older      int // calls in flight that began before the ejection
}

func (s *server) take() Server {
	s.inFlight++
	return s.Server
}

func (s *server) takeProbe(now time.Time) Server {
	s.probing, s.probeStart = true, now
	return s.take()
}

// probeDue reports whether the ejection is over and no probe is in flight. A probe that does not end in time no longer
// holds back the next one.
func (s *server) probeDue(now time.Time) bool {
	return !now.Before(s.until) && (!s.probing || now.Sub(s.probeStart) >= ejectMax)
}

func (s *server) level(now time.Time) cradmission.Priority {
	if now.Sub(s.feedbackAt) >= feedbackExpiry {
		return 0
	}
	return s.feedback.Level
}

func (s *server) admits(now time.Time, p cradmission.Priority) bool {
	// The age matters only below the level; comparing times for each server would be a third of the cost of a pick.
	return p >= s.feedback.Level || p.Probe() || p >= s.level(now)
}

// score is the expected load of the server with one more call: own calls in flight and the reported load, which counts
// less as it ages. A share of errors raises it, so that fast and wrong answers attract no traffic.
func (s *server) score(now time.Time) float64 {
	limit := s.Slots
	if s.feedback.Limit > 0 {
		limit = s.feedback.Limit
	}
	capacity := float64(max(limit, 1))
	load := float64(s.inFlight+1) / capacity
	if fresh := 1 - float64(now.Sub(s.feedbackAt))/float64(feedbackExpiry); fresh > 0 {
		load += min(fresh, 1) * float64(s.feedback.InFlight+s.feedback.Queued) / capacity
	}
	return load * (1 + 4*s.errors)
}

// warmth grows from 0.1 to 1 over the slow start.
func (s *server) warmth(now time.Time) float64 {
	if s.warmFrom.IsZero() {
		return 1
	}
	part := float64(now.Sub(s.warmFrom)) / float64(SlowStart)
	return min(max(part, 0.1), 1)
}

// judge updates a server's record by the end of one call and ejects or returns it.
func (r *Router) judge(now time.Time, s *server, res Result) {
	probe := s.ejected && s.probing
	// A call from before the ejection ends with a latency that the probe cannot have yet.
	if probe && s.older > 0 && res.Latency > now.Sub(s.probeStart) {
		s.older--
		probe = false
	}
	switch res.Kind {
	case Leaving:
		s.away = now.Add(leaving)
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
		s.count(0)
		s.learn(res.Latency.Seconds())
	case TimedOut:
		s.timeouts++
		s.fail()
	case Unreachable:
		s.unreachable++
		s.fail()
	default:
		s.timeouts, s.unreachable = 0, 0
		s.fail()
	}
	if probe {
		r.judgeProbe(now, s, res)
		return
	}
	if !s.ejected && r.bad(s) {
		r.eject(now, s)
	}
}

func (r *Router) judgeProbe(now time.Time, s *server, res Result) {
	s.probing = false
	if res.Kind != OK || r.slow(s, res.Latency.Seconds()) {
		s.probeOK = 0
		s.ban(now)
		return
	}
	s.probeOK++
	if s.probeOK < probesToReturn {
		return
	}
	s.ejected, s.probeOK = false, 0
	s.errors, s.latency, s.samples, s.failures = 0, 0, 0, 0
	s.returned = now
	s.warmFrom = now.Add(returnStart - SlowStart)
}

// bad reports whether the server's record calls for an ejection.
func (r *Router) bad(s *server) bool {
	if s.timeouts >= timeoutsInRow || s.unreachable >= unreachableInRow {
		return true
	}
	// Where all servers fail alike, leaving one out only loses its capacity.
	usual, known := r.usualErrors(s)
	if s.failures >= failuresInRow && s.errors > 2*usual {
		return true
	}
	if s.samples < minSamples {
		return false
	}
	if known && s.errors > maxErrors && s.errors > 2*usual {
		return true
	}
	// Comparing latencies sorts up to 20 numbers, so it is done for one answer in eight.
	return s.samples%8 == 0 && r.slow(s, s.latency)
}

func (r *Router) slow(s *server, latency float64) bool {
	m := r.median(s, func(o *server) float64 { return o.latency })
	return m > 0 && latency > outlier*m && latency > m+outlierMin
}

// usualErrors returns the mean share of errors of the other servers, ejected ones included, and whether any is known.
func (r *Router) usualErrors(except *server) (share float64, known bool) {
	n := 0
	for _, o := range r.servers {
		if o != except && (o.samples >= minSamples || o.ejected) {
			share += o.errors
			n++
		}
	}
	if n == 0 {
		return 0, false
	}
	return share / float64(n), true
}

// median returns the lower median of a figure over the other servers in use that have enough samples; zero if none.
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

// eject takes the server out of use unless half of the service is out already.
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
	if !s.returned.IsZero() && now.Sub(s.returned) > forget {
		s.ejections = 0
	}
	s.ejected, s.probing, s.probeOK, s.older = true, false, 0, s.inFlight
	s.ban(now)
}

func (s *server) ban(now time.Time) {
	s.until = now.Add(min(ejectBase<<min(s.ejections, 2), ejectMax))
	s.ejections++
}

func (s *server) fail() {
	s.failures++
	s.count(1)
}

func (s *server) count(bad float64) {
	s.samples++
	s.errors += 0.1 * (bad - s.errors)
}

func (s *server) learn(latency float64) {
	if s.latency == 0 {
		s.latency = latency
		return
	}
	s.latency += 0.1 * (latency - s.latency)
}
