package crlimiter

import "time"

const (
	// minWindow and maxSettle bound one measurement; a window also covers one and a half typical latencies.
	minWindow = 100 * time.Millisecond
	maxSettle = time.Second
	// minSuccess is the number of answers that a window needs; with exponential service times 200 answers give the mean
	// within about 7%.
	minSuccess = 200
	// earlySuccess is the number of answers after which a lower probe ends that plainly costs throughput.
	earlySuccess = 50
	// maxWindow bounds a window in time; one that stays short of answers is started again.
	maxWindow = 5 * time.Second
	// A probe is decided by the part of the additional concurrency that only waited inside the server.
	mostlyWorked = 0.4
	mostlyWaited = 0.8
	// firstStep is the share by which the first lower probe cuts; it stands well above the noise of two windows.
	firstStep = 0.2
	// probeEvery is the pause between probes once a search has settled; a lower probe costs up to 20% of the
	// throughput for 50 answers.
	probeEvery = 10 * time.Second
	// bound is the share of the limit that must be in flight on average for a window to tell about the limit.
	bound = 0.85
	// headroom above the estimated concurrency covers gaps between a release and the next start.
	headroom = 1.05
	// tolerance is the change of throughput against the expected direction that marks a change of the server itself.
	tolerance = 1.1
)

// measure is the outcome of one window.
type measure struct {
	limit    int
	work     float64 // usual seconds of work done per second
	ratio    float64 // own time over usual time
	inFlight float64 // mean
}

// search is the state of the comparison: a base window, then a probe at another limit.
type search struct {
	base    measure // limit zero: none yet
	probing bool
	down    float64 // share by which a lower probe cuts; zero means the first step
	up      bool    // the next probe is a higher one
	factor  float64 // factor of a higher probe
	next    time.Time
	agreed  bool // the last lower probe already told to go lower
}

// evaluate ends a window that has enough time and answers.
func (l *Limiter) evaluate(now time.Time) {
	w := &l.window
	if l.hung(now) {
		return
	}
	length := now.Sub(w.settle)
	if l.probing() && w.success >= earlySuccess && w.success < minSuccess && length >= max(minWindow, l.service) && l.costly(length) {
		// All of the higher concurrency was worked on; the limit goes back before the probe costs more.
		l.state.probing = false
		l.restart(now, 0)
		l.accept(now, l.state.base.limit, true)
		return
	}
	if length < max(minWindow, l.service+l.service/2) || w.success < minSuccess || w.work == 0 {
		if length > max(maxWindow, 4*l.service) {
			l.restart(now, 0)
		}
		return
	}
	m := measure{
		limit:    l.limit,
		work:     w.work / length.Seconds(),
		ratio:    w.own / w.work,
		inFlight: w.area / length.Seconds(),
	}
	l.restart(now, 0)
	s := &l.state
	if m.inFlight < bound*float64(m.limit) {
		// The load does not reach the limit, so the window says nothing about it.
		if s.probing {
			l.revert(now)
		}
		s.base = measure{}
		return
	}
	if s.probing {
		l.compare(now, m)
		return
	}
	s.base = m
	if now.Before(s.next) {
		return
	}
	l.probe(now)
}

// probing reports whether the present window is a lower probe.
func (l *Limiter) probing() bool { return l.state.probing && !l.state.up }

// costly reports whether the work done in a lower probe fell by about as much as the limit did.
func (l *Limiter) costly(length time.Duration) bool {
	base := l.state.base
	cut := 1 - float64(l.limit)/float64(base.limit)
	return l.window.work/length.Seconds() < base.work*(1-cut*(1-mostlyWorked))
}

// hung lowers the limit when only timeouts come, and keeps the former limit for the first success.
func (l *Limiter) hung(now time.Time) bool {
	w := &l.window
	if now.Sub(w.begin) < minWindow || w.success > 0 || w.timeouts == 0 {
		return false
	}
	if l.good == 0 {
		l.good = l.limit
		if l.state.probing {
			l.good = l.state.base.limit
		}
	}
	l.state = search{}
	l.set(now, max(l.good/4, l.limit/2))
	return true
}

func (l *Limiter) probe(now time.Time) {
	s := &l.state
	n := l.limit
	if s.up {
		if s.factor == 0 {
			s.factor = 1.25
		}
		n = l.clamp(max(int(float64(n)*s.factor), n+1))
	} else {
		if s.down == 0 {
			s.down = firstStep
		}
		n = l.clamp(min(int(float64(n)*(1-s.down)+0.5), n-1))
	}
	if n == l.limit {
		s.up = !s.up
		s.next = now.Add(probeEvery)
		return
	}
	s.probing = true
	l.set(now, n)
}

func (l *Limiter) revert(now time.Time) {
	l.state.probing = false
	l.set(now, l.state.base.limit)
}

// compare decides on a probe from the lower and the higher of the two windows.
func (l *Limiter) compare(now time.Time, m measure) {
	s := &l.state
	low, high := s.base, m
	if !s.up {
		low, high = m, s.base
	}
	if low.work > high.work*tolerance || high.ratio*tolerance < low.ratio {
		// Less concurrency cannot make a server both faster and slower: the server itself changed meanwhile.
		l.revert(now)
		s.base, s.down, s.factor = measure{}, 0, 0
		return
	}
	// What the higher window took longer than the lower one for the same work is time spent waiting inside the server.
	waiting := high.work * (high.ratio - low.ratio)
	part := waiting / max(high.inFlight-low.inFlight, 1)
	s.probing = false
	switch {
	case part <= mostlyWorked:
		l.accept(now, high.limit, true)
	case part < mostlyWaited:
		// The estimate lies between the two windows.
		s.down, s.factor, s.up, s.agreed = 0, 0, false, false
		s.next = now.Add(probeEvery)
		s.base = measure{}
		working := high.inFlight - waiting
		l.set(now, min(max(int(working*headroom+0.999), low.limit), max(high.limit, low.limit+1)))
	case !s.up && !s.agreed:
		// One window pair may be noise, and a wrong lower limit costs throughput: look once more.
		l.set(now, high.limit)
		s.base, s.agreed, s.next = measure{}, true, now
	default:
		l.accept(now, low.limit, false)
	}
}

// accept moves to a limit and goes on in the same direction with a longer step, or turns round and pauses.
func (l *Limiter) accept(now time.Time, n int, up bool) {
	s := &l.state
	s.agreed = !up && !s.up
	if up == s.up {
		s.factor = min(max(s.factor*1.3, 1.25), 2)
		s.down = min(max(s.down*1.5, firstStep), 0.5)
		s.next = now
	} else {
		s.factor, s.down = 0, 0
		s.up = up
		s.next = now
		if !up {
			s.next = now.Add(probeEvery)
		}
	}
	s.base = measure{}
	l.set(now, n)
}
